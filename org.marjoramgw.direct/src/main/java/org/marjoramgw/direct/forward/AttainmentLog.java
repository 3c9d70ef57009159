package org.marjoramgw.direct.forward;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import org.tinylog.Logger;

/**
 * Counts the attainment of the requests of each route, and logs the counts of every
 * interval in which a route missed its targets; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class AttainmentLog {

	private final MetricRegistry registry;

	private final Map<String, Map<Attainment, Integer>> intervalCounts = new TreeMap<>();

	/**
	 * Creates a log.
	 * @param registry registry of the counters
	 */
	AttainmentLog(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Counts a request.
	 * @param route name of its route
	 * @param attainment its attainment
	 */
	synchronized void record(String route, Attainment attainment) {
		this.registry.counter("attainment." + route + "." + attainment.label()).inc();
		this.intervalCounts.computeIfAbsent(route, (key) -> new EnumMap<>(Attainment.class))
			.merge(attainment, 1, Integer::sum);
	}

	/**
	 * Ends an interval: logs a line for each route that missed a target in it.
	 */
	synchronized void endInterval() {
		this.intervalCounts.forEach((route, counts) -> {
			if (counts.keySet().stream().anyMatch((attainment) -> attainment != Attainment.IN_TIME)) {
				Logger.info("attainment route={}{}", route, describe(counts));
			}
		});
		this.intervalCounts.clear();
	}

	private static String describe(Map<Attainment, Integer> counts) {
		StringBuilder text = new StringBuilder();
		counts.forEach((attainment, count) -> text.append(' ').append(attainment.label()).append('=').append(count));
		return text.toString();
	}

}
