package org.marjoramgw.http;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * Gauges of what a process holds for callers.
 *
 * @author The marjoramgw authors
 */
public final class ServerGauges {

	private ServerGauges() {
	}

	/**
	 * Registers the gauges.
	 * @param registry metrics of the process
	 * @param server the server
	 * @param budget its memory budget
	 */
	public static void register(MetricRegistry registry, BoundedHttpServer server, MemoryBudget budget) {
		registry.register("callers.connections", (Gauge<Integer>) server::connectionCount);
		registry.register("callers.closed", (Gauge<Long>) server::closedCount);
		registry.register("callers.memory.max", (Gauge<Long>) budget::maxBytes);
		registry.register("callers.memory.connections", (Gauge<Long>) () -> budget.usedBytes(MemoryKind.CONNECTION));
		registry.register("callers.memory.requests", (Gauge<Long>) () -> budget.usedBytes(MemoryKind.REQUEST));
		registry.register("callers.memory.responses", (Gauge<Long>) () -> budget.usedBytes(MemoryKind.RESPONSE));
		registry.register("callers.memory.reclaimed", (Gauge<Long>) budget::reclaimedCount);
		registry.register("callers.memory.refused", (Gauge<Long>) budget::refusedCount);
	}

}
