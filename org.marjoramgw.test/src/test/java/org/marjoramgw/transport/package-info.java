/**
 * Tests of the transport of framed messages.
 */
package org.marjoramgw.transport;
