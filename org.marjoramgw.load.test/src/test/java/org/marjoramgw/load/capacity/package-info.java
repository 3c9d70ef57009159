/**
 * Tests of the capacity measurements' arithmetic.
 */
package org.marjoramgw.load.capacity;
