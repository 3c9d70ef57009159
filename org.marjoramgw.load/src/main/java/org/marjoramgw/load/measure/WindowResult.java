package org.marjoramgw.load.measure;

import java.util.Map;

/**
 * Measures of one window.
 *
 * @param startMillis start of the window, in milliseconds after the first phase began
 * @param attainmentPercent share of attained requests by class, in percent
 * @param firstTokenP95Millis 95th percentile of the time to the first token by class, in
 * milliseconds; without the classes of which no request was answered
 * @author The marjoramgw authors
 */
public record WindowResult(long startMillis, Map<String, Double> attainmentPercent,
		Map<String, Long> firstTokenP95Millis) {
}
