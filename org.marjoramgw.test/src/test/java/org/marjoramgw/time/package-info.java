/**
 * Tests of clocks that measure ages and lag.
 */
package org.marjoramgw.time;
