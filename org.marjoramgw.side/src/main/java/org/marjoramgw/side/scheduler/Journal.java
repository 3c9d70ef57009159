package org.marjoramgw.side.scheduler;

import java.util.HashMap;
import java.util.Map;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import org.marjoramgw.ResultCode;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.trace.DecisionLog;

/**
 * Records the decisions of the scheduler in the decision log and updates its metrics.
 *
 * @author The marjoramgw authors
 */
final class Journal {

	private final DecisionLog decisionLog;

	private final MetricRegistry registry;

	private final ResultCounters counters;

	private final Map<String, Long> slotMillisByClass = new HashMap<>();

	Journal(DecisionLog decisionLog, MetricRegistry registry) {
		this.decisionLog = decisionLog;
		this.registry = registry;
		this.counters = new ResultCounters(registry);
	}

	void recordDecision(ScheduledRequest request, String step, ResultCode code, String detail) {
		recordDecision(request.key().requestId(), step, code, "attempt=" + request.key().attempt() + " class="
				+ request.waiting().requestClass() + " tier=" + request.waiting().tier() + " " + detail);
	}

	void recordDecision(String requestId, String step, ResultCode code, String detail) {
		this.decisionLog.add(requestId, step, code, detail);
		if (code != null) {
			this.counters.count(code);
		}
	}

	void count(String name) {
		this.registry.counter(name).inc();
	}

	void wasted(String cause, long tokens) {
		this.registry.counter("wasted_tokens." + cause).inc(tokens);
	}

	void updateSlotTime(String requestClass, long totalMillis) {
		long previousMillis = this.slotMillisByClass.getOrDefault(requestClass, 0L);
		this.registry.counter("slot_time_ms." + requestClass).inc(totalMillis - previousMillis);
		this.slotMillisByClass.put(requestClass, totalMillis);
	}

	void gauge(String name, long value) {
		SettableGauge<Long> gauge = this.registry.gauge(name, () -> new DefaultSettableGauge<>(0L));
		gauge.setValue(value);
	}

}
