package org.marjoramgw.direct.caller;

import org.marjoramgw.time.ClockReading;

/**
 * Arrival times of the requests of one connection; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class RequestArrivals {

	private ClockReading firstBytes;

	private ClockReading latestBytes;

	private boolean readingBody;

	/**
	 * Creates the arrival times of a connection without bytes.
	 * @param accepted when the connection was accepted
	 */
	public RequestArrivals(ClockReading accepted) {
		this.latestBytes = accepted;
	}

	/**
	 * Records that bytes were read.
	 * @param now present time
	 */
	public synchronized void onBytes(ClockReading now) {
		this.latestBytes = now;
		if (this.firstBytes == null && !this.readingBody) {
			this.firstBytes = now;
		}
	}

	/**
	 * Returns when the request arrived that waits or comes next.
	 * @return time at which its first bytes were read, or the latest bytes if it was sent
	 * together with the request before it
	 */
	public synchronized ClockReading next() {
		return (this.firstBytes != null) ? this.firstBytes : this.latestBytes;
	}

	/**
	 * Marks the start of a request. The bytes that arrive from now on are its body.
	 * @return when it arrived
	 */
	synchronized ClockReading beginRequest() {
		ClockReading arrived = next();
		this.firstBytes = null;
		this.readingBody = true;
		return arrived;
	}

	/**
	 * Marks the end of the body. The bytes that arrive from now on are the next request.
	 */
	synchronized void endBody() {
		this.readingBody = false;
	}

}
