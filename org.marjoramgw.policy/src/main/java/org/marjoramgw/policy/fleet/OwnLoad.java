package org.marjoramgw.policy.fleet;

/**
 * Load that this process puts on one backend server. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class OwnLoad {

	/** Prompt tokens without the cached ones whose first token is outstanding. */
	long unreadTokens;

	/** Prompts whose first token is outstanding. */
	int unreadCount;

	/** Streams that have begun, and requests without a prompt. */
	int runningCount;

	int timelyCount;

	int lateCount;

	/** Latest pace that was measured, in events per second; 0 if none was. */
	double eventsPerSecond;

	/** Long pause of the same measurement, in milliseconds. */
	int longPauseMillis;

	/** Time of the last change, in milliseconds. */
	long changedMillis;

	/** Whether something may have changed since the last report. */
	boolean changed;

	private ServerReport lastReport;

	int requestCount() {
		return this.unreadCount + this.runningCount;
	}

	/**
	 * Returns the report of the next digest.
	 * @param serverKey key of the server
	 * @return the report, or {@code null} if it is the same as the last one
	 */
	ServerReport nextReport(int serverKey) {
		if (!this.changed) {
			return null;
		}
		this.changed = false;
		ServerReport report = new ServerReport(serverKey, clamp(this.unreadTokens), this.runningCount, this.timelyCount,
				this.lateCount, this.eventsPerSecond, this.longPauseMillis);
		boolean different = !report.equals(this.lastReport);
		this.lastReport = report;
		return different ? report : null;
	}

	private static int clamp(long tokenCount) {
		return (int) Math.min(Integer.MAX_VALUE, tokenCount);
	}

	/**
	 * Returns the report of the last digest again.
	 * @return the report, {@code null} if there was none
	 */
	ServerReport lastReport() {
		return this.lastReport;
	}

}
