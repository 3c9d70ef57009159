package org.marjoramgw.metrics;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.ResultCode;

/**
 * Counters of results by code, for example {@code results.3001}.
 *
 * @author The marjoramgw authors
 */
public final class ResultCounters {

	private final MetricRegistry registry;

	/**
	 * Creates counters.
	 * @param registry where they are registered
	 */
	public ResultCounters(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Counts one result.
	 * @param code the result
	 */
	public void count(ResultCode code) {
		this.registry.counter("results." + code.number()).inc();
	}

	/**
	 * Returns the count of a result.
	 * @param code the result
	 * @return how often it was counted
	 */
	public long countOf(ResultCode code) {
		return this.registry.counter("results." + code.number()).getCount();
	}

}
