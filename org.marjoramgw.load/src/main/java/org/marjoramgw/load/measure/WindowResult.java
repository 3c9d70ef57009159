package org.marjoramgw.load.measure;

import java.util.Map;

/**
 * Measures of one measurement window.
 *
 * @param startMillis start of the window, in milliseconds after the start of the first
 * phase
 * @param attainmentPercent share of requests that met every target, in percent, by
 * request class
 * @param firstTokenP95Millis 95th percentile of the time to the first token, in
 * milliseconds, by request class; without classes that received no response
 * @author The marjoramgw authors
 */
public record WindowResult(long startMillis, Map<String, Double> attainmentPercent,
		Map<String, Long> firstTokenP95Millis) {
}
