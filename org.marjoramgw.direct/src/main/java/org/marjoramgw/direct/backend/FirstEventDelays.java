package org.marjoramgw.direct.backend;

import java.util.HashMap;
import java.util.Map;

import org.marjoramgw.MillisClock;

/**
 * How much longer than expected the first event of a stream took lately, for each backend
 * server and rank of request; thread-safe.
 * <p>
 * It shows the load that other senders put on a server, which this process can't see
 * otherwise. An observation loses its weight with time, so that a server that was avoided
 * is tried again.
 *
 * @author The marjoramgw authors
 */
public final class FirstEventDelays {

	/** Weight of the newest observation. */
	private static final double NEWEST_WEIGHT = 0.4;

	/** Time in which an observation loses most of its weight, in milliseconds. */
	private static final double DECAY_MILLIS = 1_500;

	private final MillisClock clock;

	private final Map<Key, Observation> byKey = new HashMap<>();

	/**
	 * Creates an empty record.
	 * @param clock monotonic clock
	 */
	public FirstEventDelays(MillisClock clock) {
		this.clock = clock;
	}

	/**
	 * Notes a first event.
	 * @param serverId id of the server
	 * @param priority rank of the request
	 * @param excessMillis how much longer than expected it took, in milliseconds
	 */
	public synchronized void observe(String serverId, int priority, double excessMillis) {
		Key key = new Key(serverId, priority);
		double before = expectedMillis(serverId, priority);
		double mixed = before + NEWEST_WEIGHT * (Math.max(0, excessMillis) - before);
		this.byKey.put(key, new Observation(mixed, this.clock.nowMillis()));
	}

	/**
	 * Returns the excess to expect now.
	 * @param serverId id of the server
	 * @param priority rank of the request
	 * @return the excess in milliseconds
	 */
	public synchronized double expectedMillis(String serverId, int priority) {
		Observation last = this.byKey.get(new Key(serverId, priority));
		if (last == null) {
			return 0;
		}
		return last.excessMillis * Math.exp(-(this.clock.nowMillis() - last.atMillis) / DECAY_MILLIS);
	}

	/**
	 * Forgets observations that have lost their weight.
	 */
	public synchronized void forgetOld() {
		long beforeMillis = this.clock.nowMillis() - (long) (DECAY_MILLIS * 4);
		this.byKey.values().removeIf((observation) -> observation.atMillis < beforeMillis);
	}

	private record Key(String serverId, int priority) {
	}

	private record Observation(double excessMillis, long atMillis) {
	}

}
