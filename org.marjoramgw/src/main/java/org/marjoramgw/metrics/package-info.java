/**
 * Result counters and the Prometheus text format of the metrics.
 */
package org.marjoramgw.metrics;
