package org.marjoramgw.direct;

import java.util.Locale;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.direct.caller.CallerEvents;
import org.marjoramgw.direct.caller.CallerListener;
import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.policy.memory.MemoryUse;

/**
 * Gauges of what is held for callers and of those who were refused it.
 *
 * @author The marjoramgw authors
 */
final class CallerGauges {

	private CallerGauges() {
	}

	/**
	 * Registers the gauges.
	 * @param registry registry of the metrics
	 * @param memory memory of what is held for callers
	 * @param listener listener for the callers
	 */
	static void register(MetricRegistry registry, MemoryBudget memory, CallerListener listener) {
		registry.register("callers.memory.total", (Gauge<Long>) memory::totalBytes);
		for (MemoryUse use : MemoryUse.values()) {
			registry.register("callers.memory." + use.name().toLowerCase(Locale.ROOT),
					(Gauge<Long>) () -> memory.usedBytes(use));
		}
		for (CallerEvents.Reason reason : CallerEvents.Reason.values()) {
			registry.register("callers.ended." + reason.metricName(),
					(Gauge<Long>) () -> listener.events().count(reason));
		}
		registry.register("connections.open", (Gauge<Long>) listener::openCount);
	}

}
