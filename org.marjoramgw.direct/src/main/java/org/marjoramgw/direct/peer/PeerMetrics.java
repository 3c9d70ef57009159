package org.marjoramgw.direct.peer;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.policy.fleet.DigestVerdict;

/**
 * Metrics of the exchange of digests.
 *
 * @author The marjoramgw authors
 */
final class PeerMetrics {

	private final Counter sent;

	private final Counter sentBytes;

	private final Counter received;

	private final Counter malformed;

	private final Counter late;

	private final Counter unsent;

	private final Map<DigestVerdict, Counter> dropped = new EnumMap<>(DigestVerdict.class);

	private volatile int heardCount;

	private volatile int memberCount = 1;

	/**
	 * Registers the metrics.
	 * @param registry the registry
	 */
	PeerMetrics(MetricRegistry registry) {
		this.sent = registry.counter("digests.sent");
		this.sentBytes = registry.counter("digests.sent.bytes");
		this.received = registry.counter("digests.received");
		this.malformed = dropped(registry, "malformed");
		this.late = dropped(registry, "late");
		this.unsent = dropped(registry, "unsent");
		for (DigestVerdict verdict : DigestVerdict.values()) {
			if (verdict != DigestVerdict.ACCEPTED) {
				this.dropped.put(verdict, dropped(registry, verdict.name().toLowerCase(Locale.ROOT)));
			}
		}
		registry.register("peers.heard", (Gauge<Integer>) () -> this.heardCount);
		registry.register("peers.members", (Gauge<Integer>) () -> this.memberCount);
	}

	void onSent(int targetCount, int sentCount, int digestBytes) {
		this.sent.inc(sentCount);
		this.sentBytes.inc((long) sentCount * digestBytes);
		this.unsent.inc((long) targetCount - sentCount);
	}

	void onMalformed() {
		this.malformed.inc();
	}

	/**
	 * Counts a digest that waited while this process did not run.
	 */
	void onLate() {
		this.late.inc();
	}

	void onVerdict(DigestVerdict verdict) {
		Counter counter = this.dropped.getOrDefault(verdict, this.received);
		counter.inc();
	}

	/**
	 * Tells whether any peer is heard.
	 * @return whether there is one
	 */
	boolean isHearing() {
		return this.heardCount > 0;
	}

	void onMembers(int newHeardCount, int newMemberCount) {
		this.heardCount = newHeardCount;
		this.memberCount = newMemberCount;
	}

	private static Counter dropped(MetricRegistry registry, String reason) {
		return registry.counter("digests.dropped." + reason);
	}

}
