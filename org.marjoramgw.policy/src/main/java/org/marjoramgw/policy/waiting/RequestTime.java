package org.marjoramgw.policy.waiting;

import java.util.OptionalLong;

/**
 * Time in which a request has to be sent and answered, counted from its arrival.
 *
 * @param allowedMillis time between the arrival and the answer, in milliseconds;
 * {@link Long#MAX_VALUE} if it is not limited
 * @param lastSendMillis time between the arrival and the last moment at which a server
 * can still answer it, in milliseconds; {@link Long#MAX_VALUE} if it is not limited
 * @author The marjoramgw authors
 */
public record RequestTime(long allowedMillis, long lastSendMillis) {

	/** Minimum remaining time for sending a request to a server, in milliseconds. */
	private static final long MIN_REMAINING_MILLIS = 30;

	/** Time of a request of which neither route nor deadline is known. */
	public static final RequestTime UNLIMITED = new RequestTime(Long.MAX_VALUE, Long.MAX_VALUE);

	/**
	 * Returns the time of a request.
	 * @param timeoutMillis timeout of its route in milliseconds, or empty if the route is
	 * not known
	 * @param deadlineMillis time that the caller waits in milliseconds, or empty
	 * @return the lesser of the two
	 */
	public static RequestTime of(OptionalLong timeoutMillis, OptionalLong deadlineMillis) {
		long allowedMillis = Math.min(timeoutMillis.orElse(Long.MAX_VALUE), deadlineMillis.orElse(Long.MAX_VALUE));
		return (allowedMillis == Long.MAX_VALUE) ? UNLIMITED
				: new RequestTime(allowedMillis, allowedMillis - MIN_REMAINING_MILLIS);
	}

	/**
	 * Returns the time of a request whose caller leaves unless its answer begins soon. A
	 * request that can't begin by then is better refused, so that its caller may come
	 * back.
	 * @param patienceMillis time for which the caller waits for the beginning, in
	 * milliseconds
	 * @param beginMillis time that a server may take to begin the answer, in milliseconds
	 * @return time with an earlier last send
	 */
	public RequestTime withPatience(long patienceMillis, long beginMillis) {
		return new RequestTime(this.allowedMillis, Math.min(this.lastSendMillis, patienceMillis - beginMillis));
	}

	/**
	 * Returns the time that is left.
	 * @param ageMillis time since the arrival, in milliseconds
	 * @return time until the answer is due, in milliseconds; negative if it is overdue
	 */
	public long remainingMillis(long ageMillis) {
		return this.allowedMillis - Math.max(0, ageMillis);
	}

	/**
	 * Tells whether a request may still be sent to a server.
	 * @param ageMillis time since the arrival, in milliseconds
	 * @return whether a server could answer it in the time that is left
	 */
	public boolean maySend(long ageMillis) {
		return Math.max(0, ageMillis) <= this.lastSendMillis;
	}

	/**
	 * Returns how long a request may wait before it is sent.
	 * @param ageMillis time since the arrival, in milliseconds
	 * @return time after which it is refused in milliseconds, 0 if that is due
	 */
	public long maxWaitMillis(long ageMillis) {
		if (!maySend(ageMillis)) {
			return 0;
		}
		long waitMillis = this.lastSendMillis - Math.max(0, ageMillis);
		return (waitMillis == Long.MAX_VALUE) ? waitMillis : waitMillis + 1;
	}

}
