package org.marjoramgw.direct.socket;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Sockets that were closed on this side and that their peers may still close. Closing a
 * socket immediately could discard bytes in transit to the peer. Used by the reading
 * thread alone.
 *
 * @author The marjoramgw authors
 */
final class LingeringSockets {

	/** Time that a peer has to close a connection, in milliseconds. */
	private static final long LINGER_MILLIS = 1_000;

	/** Interval at which the connections are checked, in milliseconds. */
	private static final long CHECK_MILLIS = 200;

	private final Set<AcceptedSocket> sockets = new LinkedHashSet<>();

	/**
	 * Adds a socket unless it was closed meanwhile.
	 * @param socket a socket whose output is shut down
	 */
	void add(AcceptedSocket socket) {
		if (socket.isOpen()) {
			this.sockets.add(socket);
		}
	}

	/**
	 * Returns the time until the next check.
	 * @return the time, in milliseconds, or 0 if there is nothing to check
	 */
	long checkMillis() {
		return this.sockets.isEmpty() ? 0 : CHECK_MILLIS;
	}

	/**
	 * Closes the sockets whose peers have taken too long.
	 * @param nowMillis present time of the monotonic clock, in milliseconds
	 */
	void closeDue(long nowMillis) {
		this.sockets.removeIf((socket) -> socket.closeIfClosingSinceBefore(nowMillis - LINGER_MILLIS));
	}

}
