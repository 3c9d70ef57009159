/**
 * Framed TCP connections between the system's own processes.
 */
package org.marjoramgw.transport;
