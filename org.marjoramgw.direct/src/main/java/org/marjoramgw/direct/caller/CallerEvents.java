package org.marjoramgw.direct.caller;

import java.util.EnumMap;
import java.util.Map;

import org.tinylog.Logger;

/**
 * Counts the callers whose connections were closed or whose requests were refused to
 * protect the process, and logs them with at most one line a second for each reason;
 * thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class CallerEvents {

	private static final long LINE_INTERVAL_MILLIS = 1_000;

	private final Map<Reason, Tally> tallies = new EnumMap<>(Reason.class);

	CallerEvents() {
		for (Reason reason : Reason.values()) {
			this.tallies.put(reason, new Tally());
		}
	}

	/**
	 * Returns the number of callers for one reason.
	 * @param reason the reason
	 * @return number of callers since the start
	 */
	public synchronized long count(Reason reason) {
		return this.tallies.get(reason).count;
	}

	/**
	 * Records a caller.
	 * @param reason the reason
	 * @param nowMillis present time of the monotonic clock, in milliseconds
	 * @param heldBytes memory that was held for the caller, in bytes
	 * @param usedBytes memory that is used for all callers, in bytes
	 */
	synchronized void record(Reason reason, long nowMillis, long heldBytes, long usedBytes) {
		Tally tally = this.tallies.get(reason);
		tally.count++;
		if (tally.loggedCount == 0 || nowMillis - tally.loggedMillis >= LINE_INTERVAL_MILLIS) {
			Logger.warn("caller {}: callers={} held_bytes={} used_bytes={}", reason.text,
					tally.count - tally.loggedCount, heldBytes, usedBytes);
			tally.loggedCount = tally.count;
			tally.loggedMillis = nowMillis;
		}
	}

	private static final class Tally {

		private long count;

		private long loggedCount;

		private long loggedMillis;

	}

	/**
	 * Why a connection was closed or a request refused.
	 */
	public enum Reason {

		/** Request head was larger than allowed. */
		HEAD_TOO_LARGE("sent too large a head"),

		/** Request head was not complete in time. */
		HEAD_TOO_LATE("didn't complete a head"),

		/** Trailers or a chunk extension were larger than allowed. */
		TRAILERS_TOO_LARGE("sent too large trailers"),

		/** Body gave way to others that needed memory. */
		BODY_RECLAIMED("held a body that others needed the memory of"),

		/** Caller did not read its response while others needed memory. */
		RESPONSE_RECLAIMED("held a response that others needed the memory of"),

		/** Caller did not read its response within the idle timeout. */
		RESPONSE_UNREAD("didn't read its response"),

		/** Connection gave way to a new one. */
		EVICTED("left a connection unused that others needed the room of"),

		/** New connection found no room. */
		NO_ROOM("connected without room");

		private final String text;

		Reason(String text) {
			this.text = text;
		}

		/**
		 * Returns the part of the metric name.
		 * @return the name in lower case
		 */
		public String metricName() {
			return name().toLowerCase(java.util.Locale.ROOT);
		}

	}

}
