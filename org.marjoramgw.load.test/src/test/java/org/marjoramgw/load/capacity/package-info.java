/**
 * Tests of the calculations of the capacity measurements.
 */
package org.marjoramgw.load.capacity;
