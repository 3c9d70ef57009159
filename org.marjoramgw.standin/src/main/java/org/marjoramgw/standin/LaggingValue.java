package org.marjoramgw.standin;

import java.util.ArrayDeque;
import java.util.Deque;

import org.marjoramgw.MillisClock;

/**
 * Value whose readers see it as it was some time ago; thread-safe.
 *
 * @param <T> immutable type of the value
 * @author The marjoramgw authors
 */
public final class LaggingValue<T> {

	private static final int MAX_VERSION_COUNT = 4_096;

	private final MillisClock clock;

	private final Deque<Version<T>> versions = new ArrayDeque<>();

	private long lagMillis;

	/**
	 * Creates a value.
	 * @param clock the clock
	 * @param initial the first value
	 * @param lagMillis how far readers are behind, in milliseconds
	 */
	public LaggingValue(MillisClock clock, T initial, long lagMillis) {
		this.clock = clock;
		this.lagMillis = lagMillis;
		this.versions.addLast(new Version<>(clock.nowMillis(), initial));
	}

	/**
	 * Sets the value.
	 * @param value the new value
	 */
	public synchronized void set(T value) {
		this.versions.addLast(new Version<>(this.clock.nowMillis(), value));
		if (this.versions.size() > MAX_VERSION_COUNT) {
			this.versions.removeFirst();
		}
		prune();
	}

	/**
	 * Changes how far readers are behind.
	 * @param millis the lag, in milliseconds
	 */
	public synchronized void setLagMillis(long millis) {
		this.lagMillis = millis;
	}

	/**
	 * Returns the newest value, which readers may not see yet.
	 * @return the newest value
	 */
	public synchronized T latest() {
		return this.versions.getLast().value();
	}

	/**
	 * Returns what readers see.
	 * @return the value that was the newest one lag ago
	 */
	public synchronized Version<T> visible() {
		prune();
		return this.versions.getFirst();
	}

	private void prune() {
		long seenMillis = this.clock.nowMillis() - this.lagMillis;
		while (this.versions.size() > 1) {
			Version<T> first = this.versions.removeFirst();
			if (this.versions.getFirst().setAtMillis() > seenMillis) {
				this.versions.addFirst(first);
				return;
			}
		}
	}

	/**
	 * Value with the time it was set.
	 *
	 * @param <T> type of the value
	 * @param setAtMillis when it was set, in milliseconds since the Unix epoch
	 * @param value the value
	 */
	public record Version<T>(long setAtMillis, T value) {
	}

}
