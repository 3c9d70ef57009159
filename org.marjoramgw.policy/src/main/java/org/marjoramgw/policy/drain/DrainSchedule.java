package org.marjoramgw.policy.drain;

/**
 * Times of a process that stops gracefully.
 *
 * @param refuseFromMillis time of the monotonic clock from which the load balancer sends
 * callers elsewhere, so that a refused caller finds another process, in milliseconds
 * @param endMillis time of the monotonic clock at which requests that are still open are
 * given up, in milliseconds
 * @author The marjoramgw authors
 */
public record DrainSchedule(long refuseFromMillis, long endMillis) {

	/** Schedule of a process that doesn't stop. */
	public static final DrainSchedule NEVER = new DrainSchedule(Long.MAX_VALUE, Long.MAX_VALUE);

	/**
	 * Tells whether a request that was just received may begin. A late one begins only if
	 * it ends before the process does, whatever its server does.
	 * @param nowMillis present time of the monotonic clock, in milliseconds
	 * @param timeoutMillis time after which the request ends at the latest, in
	 * milliseconds
	 * @return whether it may begin
	 */
	public boolean mayBegin(long nowMillis, long timeoutMillis) {
		return nowMillis < this.refuseFromMillis || timeoutMillis <= this.endMillis - nowMillis;
	}

}
