/**
 * Tests of the framed connections.
 */
package org.marjoramgw.transport;
