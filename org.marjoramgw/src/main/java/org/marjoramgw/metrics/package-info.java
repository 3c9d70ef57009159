/**
 * Counters for results and retries, and their text format.
 */
package org.marjoramgw.metrics;
