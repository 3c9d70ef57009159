/**
 * Load and experiment tool: runs a deployment under seeded load and measures attainment,
 * goodput and wasted work.
 */
package org.marjoramgw.load;
