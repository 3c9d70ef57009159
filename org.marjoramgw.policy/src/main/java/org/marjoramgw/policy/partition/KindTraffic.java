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
	private static final double PRIOR_STREAMS = 30;

	/** Fraction of streams with a late pause above which a kind counts as harmed. */
	private static final double HARMED_FRACTION = 0.05;

	/** Time for which a kind stays harmed, so that the partition that helps it stays. */
	private static final long HARMED_MILLIS = 600_000;

	private final DecayingSum requests;

	private final DecayingSum promptTokens;

	private final DecayingSum busyMillis;

	private final DecayingSum streams;

	private final DecayingSum lateStreams;

	private long maxPauseMillis = Long.MAX_VALUE;

	private long lastRequestMillis;

	private long harmedUntilMillis = Long.MIN_VALUE;

	KindTraffic(long nowMillis) {
		this.requests = new DecayingSum(WORK_TIME_CONSTANT_MILLIS, nowMillis);
		this.promptTokens = new DecayingSum(WORK_TIME_CONSTANT_MILLIS, nowMillis);
		this.busyMillis = new DecayingSum(WORK_TIME_CONSTANT_MILLIS, nowMillis);
		this.streams = new DecayingSum(PAUSE_TIME_CONSTANT_MILLIS, nowMillis);
		this.lateStreams = new DecayingSum(PAUSE_TIME_CONSTANT_MILLIS, nowMillis);
		this.lastRequestMillis = nowMillis;
	}

	void onRequest(long promptTokenCount, long newMaxPauseMillis, long nowMillis) {
		this.requests.add(1, nowMillis);
		this.promptTokens.add(promptTokenCount, nowMillis);
		this.maxPauseMillis = newMaxPauseMillis;
		this.lastRequestMillis = nowMillis;
	}

	void onStreamEnd(long durationMillis, boolean pauseWasLate, long nowMillis) {
		this.busyMillis.add(durationMillis, nowMillis);
		this.streams.add(1, nowMillis);
		this.lateStreams.add(pauseWasLate ? 1 : 0, nowMillis);
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

	long lastRequestMillis() {
		return this.lastRequestMillis;
	}

	double promptTokens(long nowMillis) {
		return this.promptTokens.valueAt(nowMillis);
	}

	double busyMillis(long nowMillis) {
		return this.busyMillis.valueAt(nowMillis);
	}

	double meanPromptTokens(long nowMillis) {
		double count = this.requests.valueAt(nowMillis);
		return (count > 0) ? this.promptTokens.valueAt(nowMillis) / count : 0;
	}

}
