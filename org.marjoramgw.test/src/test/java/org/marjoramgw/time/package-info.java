/**
 * Tests of clocks for ages.
 */
package org.marjoramgw.time;
