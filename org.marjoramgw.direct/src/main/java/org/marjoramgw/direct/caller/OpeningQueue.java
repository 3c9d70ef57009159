package org.marjoramgw.direct.caller;

import java.util.concurrent.Executor;

import org.marjoramgw.direct.socket.AcceptedSocket;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.time.Timers;

/**
 * Queue of the connections that wait to be opened, among all requests that wait to start;
 * thread-safe.
 * <p>
 * A process that has just started opens connections slowly. If it opened all waiting ones
 * at once, it would detect late which callers have disconnected in the meantime.
 *
 * @author The marjoramgw authors
 */
final class OpeningQueue {

	private final StartLimiter limiter;

	private final Timers timers;

	private final UnreadRequest.Factory requests;

	private final Executor executor;

	/**
	 * Creates a queue.
	 * @param limiter limits the requests that start concurrently
	 * @param timers timers
	 * @param requests creates the requests of the waiting connections
	 * @param executor opens connections that don't wait
	 */
	OpeningQueue(StartLimiter limiter, Timers timers, UnreadRequest.Factory requests, Executor executor) {
		this.limiter = limiter;
		this.timers = timers;
		this.requests = requests;
		this.executor = executor;
	}

	/**
	 * Keeps all connections waiting until the returned action is run, so that the most
	 * urgent one is known.
	 * @return action that lets connections be opened
	 */
	Runnable hold() {
		return this.limiter.hold();
	}

	/**
	 * Returns the number of requests that wait, unread or on kept connections.
	 * @return the number of requests
	 */
	int waitingCount() {
		return this.limiter.waitingCount();
	}

	/**
	 * Opens all connections that wait, and from now on each one at once.
	 */
	void openAll() {
		this.limiter.liftForUnread();
	}

	/**
	 * Creates the place of a connection in the queue.
	 * @param socket socket of the connection
	 * @param connection the connection
	 * @param open opens the connection
	 * @return the place
	 */
	WaitingConnection place(AcceptedSocket socket, CallerConnection connection, Runnable open) {
		return new WaitingConnection(socket, connection, this.limiter, this.timers, this.requests, open, this.executor);
	}

}
