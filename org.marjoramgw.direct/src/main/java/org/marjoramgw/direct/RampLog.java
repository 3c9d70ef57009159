package org.marjoramgw.direct;

import java.util.HashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.policy.pace.PaceBook;
import org.marjoramgw.policy.pace.RampListener;
import org.tinylog.Logger;

/**
 * Log lines and metrics of the ramps of backend servers; thread-safe.
 * <p>
 * Metrics that name a server exist during its ramp only, and only for a few servers at a
 * time.
 *
 * @author The marjoramgw authors
 */
final class RampLog implements RampListener {

	private static final int MAX_NAMED_SERVERS = 16;

	private final MetricRegistry registry;

	private final PaceBook paceBook;

	private final Set<String> namedServers = new HashSet<>();

	/**
	 * Creates a log.
	 * @param registry registry of the metrics
	 * @param paceBook paces of the servers
	 */
	RampLog(MetricRegistry registry, PaceBook paceBook) {
		this.registry = registry;
		this.paceBook = paceBook;
	}

	@Override
	public synchronized void onRampStarted(int serverKey, String name, String reason, DoubleSupplier share) {
		Logger.info("ramp of backend server {} started reason={} share={}", name, reason, share.getAsDouble());
		if (this.namedServers.size() < MAX_NAMED_SERVERS && this.namedServers.add(name)) {
			this.registry.gauge(shareMetric(name), () -> (Gauge<Double>) share::getAsDouble);
			this.registry.gauge(paceMetric(name), () -> (Gauge<Double>) () -> this.paceBook.steadyPace(serverKey));
		}
	}

	@Override
	public synchronized void onRampEnded(int serverKey, String name, String reason, long tookMillis) {
		Logger.info("ramp of backend server {} ended reason={} took_ms={} events_per_s={}", name, reason, tookMillis,
				Math.round(this.paceBook.steadyPace(serverKey)));
		if (this.namedServers.remove(name)) {
			this.registry.remove(shareMetric(name));
			this.registry.remove(paceMetric(name));
		}
	}

	private static String shareMetric(String name) {
		return "ramp.share." + name;
	}

	private static String paceMetric(String name) {
		return "ramp.events.per.s." + name;
	}

}
