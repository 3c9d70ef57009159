/**
 * Measures of an experiment: attainment, goodput, wasted work and slot-time.
 */
package org.marjoramgw.load.measure;
