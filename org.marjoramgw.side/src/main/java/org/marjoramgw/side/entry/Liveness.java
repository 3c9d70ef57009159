package org.marjoramgw.side.entry;

import org.marjoramgw.wire.Message;

/**
 * Liveness of one connection, in both directions; thread-safe.
 * <p>
 * A connection without messages about work for the length of the timeout is idle. On an
 * idle connection the entry sets the pace: its heartbeats are answered, and a long
 * silence is borne. While requests are open, heartbeats go out all the same, so that the
 * entry learns soon if the connection has gone silent.
 *
 * @author The marjoramgw authors
 */
final class Liveness {

	private final HeartbeatIntervals intervals;

	private long lastReceivedMillis;

	private long lastSentMillis;

	private long lastWorkMillis;

	private long busySinceMillis;

	Liveness(HeartbeatIntervals intervals, long nowMillis) {
		this.intervals = intervals;
		this.lastReceivedMillis = nowMillis;
		this.lastWorkMillis = nowMillis;
		this.busySinceMillis = nowMillis;
	}

	/**
	 * Notes a received message.
	 * @param message the message
	 * @param nowMillis the present time, in milliseconds
	 * @return whether it ended an idle time
	 */
	synchronized boolean onReceived(Message message, long nowMillis) {
		this.lastReceivedMillis = nowMillis;
		return recordActivity(message, nowMillis);
	}

	synchronized void onSent(Message message, long nowMillis) {
		this.lastSentMillis = nowMillis;
		recordActivity(message, nowMillis);
	}

	synchronized boolean isTimedOut(long nowMillis) {
		long limitMillis = isBusy(nowMillis) ? this.intervals.timeoutMillis() : this.intervals.idleTimeoutMillis();
		long sinceMillis = Math.max(this.lastReceivedMillis, this.busySinceMillis);
		return nowMillis - sinceMillis > limitMillis;
	}

	/**
	 * Tells whether a heartbeat is due of its own.
	 * @param openRequests whether requests of the peer are open here
	 * @param nowMillis the present time, in milliseconds
	 * @return whether there is work and nothing was sent lately
	 */
	synchronized boolean isHeartbeatDue(boolean openRequests, long nowMillis) {
		return (openRequests || isBusy(nowMillis)) && isSendGapReached(nowMillis);
	}

	/**
	 * Tells whether a heartbeat of the peer calls for an answer.
	 * @param nowMillis the present time, in milliseconds
	 * @return whether nothing was sent lately
	 */
	synchronized boolean isReplyDue(long nowMillis) {
		return isSendGapReached(nowMillis);
	}

	private boolean isSendGapReached(long nowMillis) {
		return nowMillis - this.lastSentMillis >= this.intervals.heartbeatMillis() / 2;
	}

	private boolean recordActivity(Message message, long nowMillis) {
		if (message instanceof Message.Heartbeat) {
			return false;
		}
		boolean woke = !isBusy(nowMillis);
		this.lastWorkMillis = nowMillis;
		if (woke) {
			this.busySinceMillis = nowMillis;
		}
		return woke;
	}

	private boolean isBusy(long nowMillis) {
		return nowMillis - this.lastWorkMillis < this.intervals.timeoutMillis();
	}

}
