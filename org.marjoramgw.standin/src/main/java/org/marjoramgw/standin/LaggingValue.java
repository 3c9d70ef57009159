package org.marjoramgw.standin;

import java.util.ArrayDeque;
import java.util.Deque;

import org.marjoramgw.MillisClock;

/**
 * Value whose updates become visible to readers after a configurable lag; thread-safe.
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
	 * @param initial the initial value
	 * @param lagMillis delay until an update is visible, in milliseconds
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
	 * Sets the lag.
	 * @param millis delay until an update is visible, in milliseconds
	 */
	public synchronized void setLagMillis(long millis) {
		this.lagMillis = millis;
	}

	/**
	 * Returns the latest value, which may not be visible to readers yet.
	 * @return the latest value
	 */
	public synchronized T latest() {
		return this.versions.getLast().value();
	}

	/**
	 * Returns the value that is visible to readers.
	 * @return the latest value that was set at least the lag ago
	 */
	public synchronized Version<T> visible() {
		prune();
		return this.versions.getFirst();
	}

	private void prune() {
		long visibleMillis = this.clock.nowMillis() - this.lagMillis;
		while (this.versions.size() > 1) {
			Version<T> oldest = this.versions.removeFirst();
			if (this.versions.getFirst().setAtMillis() > visibleMillis) {
				this.versions.addFirst(oldest);
				return;
			}
		}
	}

	/**
	 * Value with the time at which it was set.
	 *
	 * @param <T> type of the value
	 * @param setAtMillis time at which it was set, in milliseconds since the Unix epoch
	 * @param value the value
	 */
	public record Version<T>(long setAtMillis, T value) {
	}

}
