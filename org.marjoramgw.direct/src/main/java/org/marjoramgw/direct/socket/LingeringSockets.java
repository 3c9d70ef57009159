package org.marjoramgw.direct.socket;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sockets whose output has ended and whose peers have not closed them yet. Not
 * thread-safe; used by the reading thread.
 *
 * @author The marjoramgw authors
 */
final class LingeringSockets {

	/**
	 * Time that a peer has to close a connection that was closed on this side, in
	 * milliseconds. Closing the socket immediately could discard bytes in transit to the
	 * peer.
	 */
	private static final long LINGER_MILLIS = 1_000;

	/** Interval at which the sockets are checked, in milliseconds. */
	private static final long CHECK_MILLIS = 200;

	private final Map<AcceptedSocket, Long> sinceMillisBySocket = new LinkedHashMap<>();

	/**
	 * Adds a socket, unless it is closed.
	 * @param socket the socket
	 * @param sinceMillis time of the monotonic clock at which its output ended
	 */
	void add(AcceptedSocket socket, long sinceMillis) {
		if (socket.isOpen()) {
			this.sinceMillisBySocket.put(socket, sinceMillis);
		}
	}

	/**
	 * Returns the time until the next check.
	 * @return the time, in milliseconds, or 0 if there is nothing to check
	 */
	long checkMillis() {
		return this.sinceMillisBySocket.isEmpty() ? 0 : CHECK_MILLIS;
	}

	/**
	 * Closes the sockets whose peers keep them open for too long.
	 * @param nowMillis present time of the monotonic clock
	 */
	void closeOverdue(long nowMillis) {
		this.sinceMillisBySocket.entrySet().removeIf((entry) -> {
			if (entry.getKey().isOpen() && nowMillis - entry.getValue() < LINGER_MILLIS) {
				return false;
			}
			entry.getKey().close();
			return true;
		});
	}

}
