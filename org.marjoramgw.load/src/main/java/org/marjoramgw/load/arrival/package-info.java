/**
 * Generation of the arrivals of an experiment from a seed.
 */
package org.marjoramgw.load.arrival;
