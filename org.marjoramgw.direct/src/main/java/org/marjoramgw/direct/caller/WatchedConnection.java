package org.marjoramgw.direct.caller;

import org.marjoramgw.direct.socket.AcceptedSocket;
import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.policy.memory.Progress;

/**
 * Connection whose use of time and memory is watched. The time without traffic is
 * measured from the check that saw the last bytes, so that it is never too long and no
 * clock is read with each write.
 *
 * @author The marjoramgw authors
 */
final class WatchedConnection {

	private static final long NOT_WAITING = -1;

	private final AcceptedSocket socket;

	private final CallerConnection connection;

	private final WaitingConnection waiting;

	private volatile long quietSinceMillis;

	private volatile long waitingSinceMillis = NOT_WAITING;

	WatchedConnection(AcceptedSocket socket, CallerConnection connection, WaitingConnection waiting, long nowMillis) {
		this.socket = socket;
		this.connection = connection;
		this.waiting = waiting;
		this.quietSinceMillis = nowMillis;
	}

	AcceptedSocket socket() {
		return this.socket;
	}

	CallerConnection connection() {
		return this.connection;
	}

	/**
	 * Takes note of traffic since the last check.
	 * @param nowMillis present time of the monotonic clock
	 */
	void observe(long nowMillis) {
		if (this.socket.takeActivity()) {
			this.quietSinceMillis = nowMillis;
		}
		if (!this.socket.memory().isWaiting()) {
			this.waitingSinceMillis = NOT_WAITING;
		}
		else if (this.waitingSinceMillis == NOT_WAITING) {
			this.waitingSinceMillis = nowMillis;
		}
	}

	long quietSinceMillis() {
		return this.quietSinceMillis;
	}

	/**
	 * Tells whether nothing is going on, also after a look at the socket.
	 * @return whether no request is being read, handled or answered
	 */
	boolean isIdle() {
		return this.connection.isIdle() && !this.socket.isWriting() && !this.socket.hasUnread();
	}

	/**
	 * Tells whether the connection waits to be opened with an incomplete head.
	 * @return whether it does
	 */
	boolean isHeadIncomplete() {
		return this.waiting.isPlaced() && this.connection.isOpening() && this.connection.isIdle()
				&& this.socket.hasUnread() && !HeadPreview.isComplete(this.socket.peek());
	}

	/**
	 * Tells whether the head was complete before the connection was opened.
	 * @return whether it was, or was not examined since nothing had to wait
	 */
	boolean isHeadKnown() {
		return this.waiting.isHeadKnown();
	}

	/**
	 * Returns when the first bytes of the request arrived that waits or comes next.
	 * @return time of the monotonic clock
	 */
	long arrivedMillis() {
		return this.socket.arrivals().next().monotonicMillis();
	}

	/**
	 * Tells whether memory can be reclaimed from the connection.
	 * @return whether it is large and its request has not run, or its caller has to read
	 */
	boolean isReclaimable() {
		return this.socket.memory().heldBytes() > MemoryBudget.SMALL_BYTES
				&& (this.connection.isReadingBody() || this.socket.isWriting());
	}

	Progress<WatchedConnection> progress(long nowMillis) {
		long waitedMillis = (this.waitingSinceMillis != NOT_WAITING) ? Math.max(1, nowMillis - this.waitingSinceMillis)
				: 0;
		return new Progress<>(this, nowMillis - this.quietSinceMillis, waitedMillis, this.socket.memory().heldBytes());
	}

}
