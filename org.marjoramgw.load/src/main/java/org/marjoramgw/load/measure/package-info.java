/**
 * Measurement of experiments: attainment, goodput, wasted work and slot time.
 */
package org.marjoramgw.load.measure;
