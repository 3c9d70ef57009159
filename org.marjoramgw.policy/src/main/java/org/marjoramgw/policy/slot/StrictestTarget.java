package org.marjoramgw.policy.slot;

/**
 * Strictest target for the token gap among the streams of recent periods.
 * <p>
 * The target is kept for {@value #RETENTION_PERIODS} periods after its last stream, since
 * a batch that grew while only classes with lenient targets ran can't shrink at once when
 * the class with the strict target is back.
 *
 * @author The marjoramgw authors
 */
final class StrictestTarget {

	private static final int RETENTION_PERIODS = 60;

	private long strictestMillis = Long.MAX_VALUE;

	private long nextStrictestMillis = Long.MAX_VALUE;

	private int unseenPeriods;

	void observe(long targetMillis) {
		if (targetMillis <= this.strictestMillis) {
			this.strictestMillis = targetMillis;
			this.unseenPeriods = 0;
		}
		else {
			this.nextStrictestMillis = Math.min(this.nextStrictestMillis, targetMillis);
		}
	}

	void endPeriod() {
		this.unseenPeriods++;
		if (this.unseenPeriods > RETENTION_PERIODS) {
			this.strictestMillis = this.nextStrictestMillis;
			this.nextStrictestMillis = Long.MAX_VALUE;
			this.unseenPeriods = 0;
		}
	}

	long millis() {
		return this.strictestMillis;
	}

}
