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
 * Record of decisions and metrics of the scheduler.
 *
 * @author The marjoramgw authors
 */
final class Journal {

	private final DecisionLog decisions;

	private final MetricRegistry registry;

	private final ResultCounters counters;

	private final Map<String, Long> slotMillisByClass = new HashMap<>();

	Journal(DecisionLog decisions, MetricRegistry registry) {
		this.decisions = decisions;
		this.registry = registry;
		this.counters = new ResultCounters(registry);
	}

	void note(Ticket ticket, String step, ResultCode code, String detail) {
		note(ticket.key().requestId(), step, code, "attempt=" + ticket.key().attempt() + " class="
				+ ticket.waiting().requestClass() + " tier=" + ticket.waiting().tier() + " " + detail);
	}

	void note(String requestId, String step, ResultCode code, String detail) {
		this.decisions.add(requestId, step, code, detail);
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

	void slotTime(String requestClass, long allMillis) {
		long before = this.slotMillisByClass.getOrDefault(requestClass, 0L);
		this.registry.counter("slot_time_ms." + requestClass).inc(allMillis - before);
		this.slotMillisByClass.put(requestClass, allMillis);
	}

	void gauge(String name, long value) {
		SettableGauge<Long> gauge = this.registry.gauge(name, () -> new DefaultSettableGauge<>(0L));
		gauge.setValue(value);
	}

}
