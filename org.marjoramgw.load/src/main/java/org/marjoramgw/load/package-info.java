/**
 * Load generator and experiment tool: runs a deployment under a reproducible, seeded load
 * and measures attainment of the latency targets, goodput and wasted work.
 */
package org.marjoramgw.load;
