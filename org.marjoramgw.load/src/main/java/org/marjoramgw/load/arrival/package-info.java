/**
 * Seeded arrivals of an experiment.
 */
package org.marjoramgw.load.arrival;
