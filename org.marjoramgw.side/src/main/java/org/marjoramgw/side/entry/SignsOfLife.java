package org.marjoramgw.side.entry;

import org.marjoramgw.wire.Message;

/**
 * Signs of life on one connection, in both directions; thread-safe.
 * <p>
 * A connection without work for the length of the timeout is idle: heartbeats are rarer
 * then, and silence is judged by the idle rhythm until the first work is a timeout old.
 *
 * @author The marjoramgw authors
 */
final class SignsOfLife {

	private final HeartbeatRhythm rhythm;

	private long heardMillis;

	private long sentMillis;

	private long workMillis;

	private long busySinceMillis;

	SignsOfLife(HeartbeatRhythm rhythm, long nowMillis) {
		this.rhythm = rhythm;
		this.heardMillis = nowMillis;
		this.workMillis = nowMillis;
		this.busySinceMillis = nowMillis;
	}

	/**
	 * Notes a received message.
	 * @param message the message
	 * @param nowMillis the present time, in milliseconds
	 * @return whether it ended an idle time
	 */
	synchronized boolean heard(Message message, long nowMillis) {
		this.heardMillis = nowMillis;
		return work(message, nowMillis);
	}

	synchronized void sent(Message message, long nowMillis) {
		this.sentMillis = nowMillis;
		work(message, nowMillis);
	}

	synchronized boolean isSilent(long nowMillis) {
		long idleExtraMillis = isBusy(nowMillis) ? 0 : this.rhythm.idleMillis() + this.rhythm.busyMillis();
		long sinceMillis = Math.max(this.heardMillis, this.busySinceMillis);
		return nowMillis - sinceMillis > this.rhythm.timeoutMillis() + idleExtraMillis;
	}

	synchronized boolean isHeartbeatDue(long nowMillis) {
		long intervalMillis = isBusy(nowMillis) ? this.rhythm.busyMillis() : this.rhythm.idleMillis();
		return nowMillis - this.sentMillis >= intervalMillis - this.rhythm.busyMillis() / 2;
	}

	private boolean work(Message message, long nowMillis) {
		if (message instanceof Message.Heartbeat) {
			return false;
		}
		boolean woke = !isBusy(nowMillis);
		this.workMillis = nowMillis;
		if (woke) {
			this.busySinceMillis = nowMillis;
		}
		return woke;
	}

	private boolean isBusy(long nowMillis) {
		return nowMillis - this.workMillis < this.rhythm.timeoutMillis();
	}

}
