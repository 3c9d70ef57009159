/**
 * Connections to side processes.
 */
package org.marjoramgw.entry.side;
