package org.marjoramgw.policy.quarantine;

/**
 * Verdict as one process holds it. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class HeldVerdict {

	/** Time after which a claim of a trial that had no effect may be repeated. */
	private static final long CLAIM_TIMEOUT_MILLIS = 10_000;

	private static final long NEVER = Long.MAX_VALUE;

	private final Verdict verdict;

	private final boolean shared;

	private final long endMillis;

	private long shareAtMillis;

	private long claimedAtMillis = NEVER;

	private boolean trial;

	private HeldVerdict(Verdict verdict, boolean shared, long endMillis, long shareAtMillis, boolean trial) {
		this.verdict = verdict;
		this.shared = shared;
		this.endMillis = endMillis;
		this.shareAtMillis = shareAtMillis;
		this.trial = trial;
	}

	/**
	 * Creates a verdict of this process.
	 * @param verdict the verdict
	 * @param endMillis end of its term by the monotonic clock, in milliseconds
	 * @param shareAtMillis when to share it by the monotonic clock, in milliseconds
	 * @return the verdict
	 */
	static HeldVerdict own(Verdict verdict, long endMillis, long shareAtMillis) {
		return new HeldVerdict(verdict, false, endMillis, shareAtMillis, false);
	}

	/**
	 * Creates a verdict that was read from the store.
	 * @param verdict the verdict
	 * @param endMillis end of its term by the monotonic clock, in milliseconds
	 * @param trial whether this process may let one request pass
	 * @return the verdict
	 */
	static HeldVerdict shared(Verdict verdict, long endMillis, boolean trial) {
		return new HeldVerdict(verdict, true, endMillis, NEVER, trial);
	}

	Verdict verdict() {
		return this.verdict;
	}

	/**
	 * Tells whether all processes have this verdict in common.
	 * @return whether it was read from the store
	 */
	boolean isShared() {
		return this.shared;
	}

	boolean hasTrial() {
		return this.trial;
	}

	void useTrial() {
		this.trial = false;
	}

	boolean isClaimed() {
		return this.claimedAtMillis != NEVER;
	}

	/**
	 * Claims the trial that is due at the end of the term.
	 * @param nowMillis present time, in milliseconds
	 * @return whether a trial is due and not claimed yet
	 */
	boolean claim(long nowMillis) {
		boolean claimable = !isClaimed() || nowMillis - this.claimedAtMillis >= CLAIM_TIMEOUT_MILLIS;
		if (nowMillis < this.endMillis || !claimable) {
			return false;
		}
		this.claimedAtMillis = nowMillis;
		return true;
	}

	/**
	 * Takes the duty to share this verdict.
	 * @param nowMillis present time, in milliseconds
	 * @return whether it is due; true only once
	 */
	boolean takeShare(long nowMillis) {
		boolean due = nowMillis >= this.shareAtMillis;
		if (due) {
			this.shareAtMillis = NEVER;
		}
		return due;
	}

	/**
	 * Tells whether nothing asked for the part since the end of the term.
	 * @param nowMillis present time, in milliseconds
	 * @param idleMillis time after the end of the term, in milliseconds
	 * @return whether the time has passed
	 */
	boolean isIdle(long nowMillis, long idleMillis) {
		return nowMillis - this.endMillis >= idleMillis;
	}

}
