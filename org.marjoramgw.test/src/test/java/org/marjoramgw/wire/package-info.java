/**
 * Tests of the encoding of wire messages.
 */
package org.marjoramgw.wire;
