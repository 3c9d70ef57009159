package org.marjoramgw.direct.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

import org.marjoramgw.direct.socket.AcceptedSocket;
import org.marjoramgw.policy.limiter.StartLimiter;
import org.marjoramgw.time.Timers;

/**
 * Queue of the connections that wait to be opened, the most urgent first; thread-safe.
 * <p>
 * A process that has just started opens connections slowly. If it opened all waiting ones
 * at once, it would detect late which callers have disconnected in the meantime.
 *
 * @author The marjoramgw authors
 */
final class OpeningQueue {

	/** Maximum number of connections that are opened concurrently. */
	private static final int MAX_OPENING_COUNT = 4;

	private final Timers timers;

	private final UnreadRequest.Factory requests;

	private final Executor executor;

	private final StartLimiter limiter = new StartLimiter(MAX_OPENING_COUNT, Runnable::run);

	/**
	 * Creates a queue.
	 * @param timers timers
	 * @param requests creates the requests of the waiting connections
	 * @param executor opens connections
	 */
	OpeningQueue(Timers timers, UnreadRequest.Factory requests, Executor executor) {
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
		List<StartLimiter.Permit> held = new ArrayList<>();
		for (int number = 0; number < MAX_OPENING_COUNT; number++) {
			this.limiter.tryAcquire().ifPresent(held::add);
		}
		return () -> held.forEach(StartLimiter.Permit::release);
	}

	/**
	 * Returns the number of connections that wait.
	 * @return the number of connections
	 */
	int waitingCount() {
		return this.limiter.waitingCount();
	}

	/**
	 * Opens all connections that wait, and from now on each one at once.
	 */
	void openAll() {
		this.limiter.lift();
	}

	/**
	 * Creates the place of a connection in the queue.
	 * @param socket socket of the connection
	 * @param connection the connection
	 * @param open opens the connection
	 * @return the place
	 */
	WaitingConnection place(AcceptedSocket socket, CallerConnection connection, Runnable open) {
		Runnable openAsync = () -> this.executor.execute(open);
		return new WaitingConnection(socket, connection, this.limiter, this.timers, this.requests, openAsync);
	}

}
