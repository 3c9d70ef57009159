/**
 * Sockets of callers, which are accepted and read before the rest of a starting process
 * is there, and whose end can be asked for at any moment.
 */
package org.marjoramgw.direct.socket;
