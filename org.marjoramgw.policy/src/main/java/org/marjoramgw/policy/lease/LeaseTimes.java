package org.marjoramgw.policy.lease;

/**
 * Times of a lease.
 *
 * @param termMillis time after the sending of a renewal for which the lease is valid, in
 * milliseconds
 * @param renewMillis interval of the renewals, in milliseconds
 * @param callMarginMillis time before the end of the term from which the duty is no
 * longer exercised, since a call takes time as well, in milliseconds
 * @param marginMillis time beyond the term after which others regard the lease as
 * expired, in milliseconds
 * @param returnMillis time for which a process that lost the lease doesn't try to acquire
 * it, in milliseconds
 * @param idleMillis time after an acquisition in which the duty is not exercised yet, in
 * milliseconds
 * @param checkMillis mean interval at which processes that are no standby check the
 * lease, in milliseconds
 * @author The marjoramgw authors
 */
public record LeaseTimes(long termMillis, long renewMillis, long callMarginMillis, long marginMillis, long returnMillis,
		long idleMillis, long checkMillis) {

	/**
	 * Shortest term. Renewals from a process with little CPU time through a slow store
	 * take up to a second.
	 */
	private static final long MIN_TERM_MILLIS = 2_000;

	/**
	 * Longest term. A report that is due 10 s after its window is late if the successor
	 * of a killed holder waits longer.
	 */
	private static final long MAX_TERM_MILLIS = 6_000;

	/** Leaves time for a second renewal within the term. */
	private static final double RENEWALS_PER_TERM = 2.2;

	private static final long CALL_MARGIN_MILLIS = 300;

	private static final long MARGIN_MILLIS = 100;

	/** Share of the term by which the clocks of two processes may differ in pace. */
	private static final int PACE_SHARE = 20;

	/**
	 * Four calls a minute; of 24 processes one checks every 0.6 s, in case that the
	 * holder and all standbys are lost together.
	 */
	private static final long CHECK_MILLIS = 15_000;

	/**
	 * Returns the times for a duty.
	 * @param leaseMillis time within which the holder of the duty must not change back,
	 * in milliseconds
	 * @param fenced whether the receiver of the calls rejects those with an old token;
	 * otherwise a new holder first waits until those of its predecessor have been
	 * executed
	 * @return the times
	 */
	public static LeaseTimes of(long leaseMillis, boolean fenced) {
		long termMillis = Math.max(MIN_TERM_MILLIS, Math.min(MAX_TERM_MILLIS, leaseMillis));
		return new LeaseTimes(termMillis, (long) (termMillis / RENEWALS_PER_TERM), CALL_MARGIN_MILLIS,
				MARGIN_MILLIS + termMillis / PACE_SHARE, 2 * Math.max(leaseMillis, termMillis),
				fenced ? 0 : leaseMillis, CHECK_MILLIS);
	}

}
