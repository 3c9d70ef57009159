/**
 * Sockets of callers, which are accepted and read before the rest of the process has
 * started, and can be checked for a disconnect at any time.
 */
package org.marjoramgw.direct.socket;
