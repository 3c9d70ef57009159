package org.marjoramgw.policy.fleet;

/**
 * What one entry process reports about one backend server.
 *
 * @param serverKey key of the server, see {@link FleetKeys#serverKey}
 * @param unreadTokens prompt tokens that the process sent there and whose first token is
 * outstanding
 * @param runningCount streams of the process that have begun there
 * @param timelyCount first tokens that arrived in time, since the process started
 * @param lateCount first tokens that were late and requests that failed, since the
 * process started
 * @param eventsPerSecond pace that the process measured last, in events of a stream per
 * second; 0 if it does not know
 * @param longPauseMillis long pause between events that the process measured last, in
 * milliseconds
 * @author The marjoramgw authors
 */
public record ServerReport(int serverKey, int unreadTokens, int runningCount, int timelyCount, int lateCount,
		double eventsPerSecond, int longPauseMillis) {

	/**
	 * Returns this report as of a time when the process had no requests at the server.
	 * @return the counts and the pace only
	 */
	ServerReport withoutLoad() {
		return new ServerReport(this.serverKey, 0, 0, this.timelyCount, this.lateCount, this.eventsPerSecond,
				this.longPauseMillis);
	}

}
