package org.marjoramgw.entry.side;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.MillisClock;

/**
 * Exponential backoff of connection attempts for each side process: the delay doubles
 * with each failure.
 *
 * @author The marjoramgw authors
 */
final class ReconnectBackoff {

	private static final long MIN_DELAY_MILLIS = 50;

	private static final long MAX_DELAY_MILLIS = 2_000;

	private final MillisClock clock;

	private final Map<String, Delay> delayById = new HashMap<>();

	ReconnectBackoff(MillisClock clock) {
		this.clock = clock;
	}

	boolean isDue(String sideId) {
		Delay delay = this.delayById.get(sideId);
		return delay == null || this.clock.nowMillis() >= delay.dueMillis();
	}

	void onFailure(String sideId) {
		Delay previous = this.delayById.get(sideId);
		long delayMillis = (previous != null) ? previous.nextMillis() : MIN_DELAY_MILLIS;
		this.delayById.put(sideId,
				new Delay(this.clock.nowMillis() + delayMillis, Math.min(MAX_DELAY_MILLIS, delayMillis * 2)));
	}

	void onConnected(String sideId) {
		this.delayById.remove(sideId);
	}

	void retainAll(Set<String> sideIds) {
		this.delayById.keySet().retainAll(sideIds);
	}

	private record Delay(long dueMillis, long nextMillis) {
	}

}
