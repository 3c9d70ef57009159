/**
 * Connections to side processes: subset, handshake, heartbeats and messages.
 */
package org.marjoramgw.entry.side;
