package org.marjoramgw.metrics;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.ResultCode;

/**
 * Metric counters of results, one for each result code, for example {@code results.3001}.
 *
 * @author The marjoramgw authors
 */
public final class ResultCounters {

	private final MetricRegistry registry;

	/**
	 * Creates counters.
	 * @param registry registry in which the counters are created
	 */
	public ResultCounters(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Increments the counter of a result.
	 * @param code the result code
	 */
	public void count(ResultCode code) {
		this.registry.counter("results." + code.number()).inc();
	}

	/**
	 * Returns the value of the counter of a result.
	 * @param code the result code
	 * @return how often the result was counted
	 */
	public long countOf(ResultCode code) {
		return this.registry.counter("results." + code.number()).getCount();
	}

}
