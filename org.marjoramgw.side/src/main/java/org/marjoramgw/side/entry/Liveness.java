package org.marjoramgw.side.entry;

import org.marjoramgw.wire.Message;

/**
 * Tracks liveness of one connection in both directions; thread-safe.
 * <p>
 * A connection is idle if it has carried no message other than heartbeats for the busy
 * timeout. On an idle connection this process only replies to the heartbeats of the
 * entry, and the longer idle timeout applies. While the entry has open requests,
 * heartbeats are sent even on an idle connection, so that the entry soon detects a
 * connection that delivers nothing any more.
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
	 * Records a received message.
	 * @param message the message
	 * @param nowMillis the current time, in milliseconds
	 * @return whether the connection was idle and is now busy
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
		long timeoutMillis = isBusy(nowMillis) ? this.intervals.timeoutMillis() : this.intervals.idleTimeoutMillis();
		long sinceMillis = Math.max(this.lastReceivedMillis, this.busySinceMillis);
		return nowMillis - sinceMillis > timeoutMillis;
	}

	/**
	 * Returns whether an unsolicited heartbeat is due.
	 * @param hasOpenRequests whether the peer has open requests at this process
	 * @param nowMillis the current time, in milliseconds
	 * @return whether the connection is busy or has open requests, and nothing was sent
	 * for half the heartbeat interval
	 */
	synchronized boolean isHeartbeatDue(boolean hasOpenRequests, long nowMillis) {
		return (hasOpenRequests || isBusy(nowMillis)) && isSendGapReached(nowMillis);
	}

	/**
	 * Returns whether a received heartbeat has to be answered with a heartbeat.
	 * @param nowMillis the current time, in milliseconds
	 * @return whether nothing was sent for half the heartbeat interval
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
		boolean becameBusy = !isBusy(nowMillis);
		this.lastWorkMillis = nowMillis;
		if (becameBusy) {
			this.busySinceMillis = nowMillis;
		}
		return becameBusy;
	}

	private boolean isBusy(long nowMillis) {
		return nowMillis - this.lastWorkMillis < this.intervals.timeoutMillis();
	}

}
