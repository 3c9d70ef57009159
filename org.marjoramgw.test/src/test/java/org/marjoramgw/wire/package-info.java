/**
 * Tests of the wire messages.
 */
package org.marjoramgw.wire;
