package org.marjoramgw.policy.partition;

import org.marjoramgw.policy.share.DecayingSum;

/**
 * Recent traffic of one kind of request. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class KindTraffic {

	private static final long WORK_TIME_CONSTANT_MILLIS = 5_000;

	private static final long PAUSE_TIME_CONSTANT_MILLIS = 20_000;

	/** Weight of the assumption that pauses are in time, in streams. */
	private static final double PRIOR_STREAMS = 10;

	/** Fraction of streams with a late pause above which a kind counts as harmed. */
	private static final double HARMED_FRACTION = 0.1;

	/** Time for which a kind stays harmed, so that the partition that helps it stays. */
	private static final long HARMED_MILLIS = 600_000;

	private final DecayingSum requests;

	private final DecayingSum promptTokens;

	private final DecayingSum openMillis;

	private final DecayingSum streams;

	private final DecayingSum lateStreams;

	private long maxPauseMillis = Long.MAX_VALUE;

	private int openCount;

	private long accountedMillis;

	private long lastRequestMillis;

	private long harmedUntilMillis = Long.MIN_VALUE;

	private KindTraffic(KindTraffic original) {
		this.requests = original.requests.copy();
		this.promptTokens = original.promptTokens.copy();
		this.openMillis = original.openMillis.copy();
		this.streams = original.streams.copy();
		this.lateStreams = original.lateStreams.copy();
		this.maxPauseMillis = original.maxPauseMillis;
		this.openCount = original.openCount;
		this.accountedMillis = original.accountedMillis;
		this.lastRequestMillis = original.lastRequestMillis;
		this.harmedUntilMillis = original.harmedUntilMillis;
	}

	KindTraffic(long nowMillis) {
		this.requests = new DecayingSum(WORK_TIME_CONSTANT_MILLIS, nowMillis);
		this.promptTokens = new DecayingSum(WORK_TIME_CONSTANT_MILLIS, nowMillis);
		this.openMillis = new DecayingSum(WORK_TIME_CONSTANT_MILLIS, nowMillis);
		this.streams = new DecayingSum(PAUSE_TIME_CONSTANT_MILLIS, nowMillis);
		this.lateStreams = new DecayingSum(PAUSE_TIME_CONSTANT_MILLIS, nowMillis);
		this.lastRequestMillis = nowMillis;
		this.accountedMillis = nowMillis;
	}

	KindTraffic copy() {
		return new KindTraffic(this);
	}

	void onRequest(long promptTokenCount, long newMaxPauseMillis, long nowMillis) {
		this.openCount++;
		this.requests.add(1, nowMillis);
		this.promptTokens.add(promptTokenCount, nowMillis);
		this.maxPauseMillis = newMaxPauseMillis;
		this.lastRequestMillis = nowMillis;
	}

	void onEnd() {
		this.openCount--;
	}

	/**
	 * Accounts for the time that the open requests spent since the last call.
	 * @param nowMillis current time, in milliseconds
	 */
	void accountOpenTime(long nowMillis) {
		this.openMillis.add((double) this.openCount * (nowMillis - this.accountedMillis), nowMillis);
		this.accountedMillis = nowMillis;
	}

	void onStream(long nowMillis) {
		this.streams.add(1, nowMillis);
	}

	void onLatePause(long nowMillis) {
		this.lateStreams.add(1, nowMillis);
		double lateFraction = this.lateStreams.valueAt(nowMillis) / (this.streams.valueAt(nowMillis) + PRIOR_STREAMS);
		if (lateFraction > HARMED_FRACTION) {
			this.harmedUntilMillis = nowMillis + HARMED_MILLIS;
		}
	}

	boolean isHarmed(long nowMillis) {
		return nowMillis < this.harmedUntilMillis;
	}

	long maxPauseMillis() {
		return this.maxPauseMillis;
	}

	boolean isIdleSince(long sinceMillis) {
		return this.openCount == 0 && this.lastRequestMillis < sinceMillis;
	}

	double promptTokens(long nowMillis) {
		return this.promptTokens.valueAt(nowMillis);
	}

	double openMillis(long nowMillis) {
		return this.openMillis.valueAt(nowMillis);
	}

	double meanPromptTokens(long nowMillis) {
		double count = this.requests.valueAt(nowMillis);
		return (count > 0) ? this.promptTokens.valueAt(nowMillis) / count : 0;
	}

}
