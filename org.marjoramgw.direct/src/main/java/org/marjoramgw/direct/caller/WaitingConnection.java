package org.marjoramgw.direct.caller;

import java.util.Optional;
import java.util.concurrent.Executor;

import org.marjoramgw.direct.model.Ranks;
import org.marjoramgw.direct.socket.AcceptedSocket;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.policy.waiting.Urgency;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Place of one connection in the queue of those that wait to be opened; thread-safe.
 * <p>
 * A request whose time ends while it waits is refused without opening its connection,
 * which would cost more than a process that is this late has left.
 *
 * @author The marjoramgw authors
 */
final class WaitingConnection {

	/**
	 * Longest wait of a request that neither its route nor its caller limits, in
	 * milliseconds.
	 */
	private static final long MAX_WAIT_MILLIS = 60_000;

	private final AcceptedSocket socket;

	private final CallerConnection connection;

	private final StartLimiter limiter;

	private final Timers timers;

	private final UnreadRequest.Factory requests;

	private final Runnable open;

	private final Executor executor;

	private StartLimiter.Permit permit;

	private volatile boolean headKnown;

	private boolean ended;

	private Timers.Handle timer = Timers.Handle.NONE;

	/**
	 * Creates a place that does not wait yet.
	 * @param socket socket of the connection
	 * @param connection the connection
	 * @param limiter limits the requests that start concurrently
	 * @param timers timers
	 * @param requests creates the request of the connection
	 * @param open opens the connection
	 * @param executor opens it if it doesn't wait
	 */
	WaitingConnection(AcceptedSocket socket, CallerConnection connection, StartLimiter limiter, Timers timers,
			UnreadRequest.Factory requests, Runnable open, Executor executor) {
		this.socket = socket;
		this.connection = connection;
		this.limiter = limiter;
		this.timers = timers;
		this.requests = requests;
		this.open = open;
		this.executor = executor;
		connection.opened().whenComplete((opened, failure) -> end());
	}

	/**
	 * Takes the place in the queue with the first bytes, and takes it anew once the head
	 * is complete, which tells how urgent the request is and how long it may wait. A
	 * connection that has ended takes none.
	 */
	synchronized void onReceived() {
		if (this.ended || this.headKnown || this.permit != null && !this.permit.withdraw()) {
			return;
		}
		if (this.permit == null && openAtOnce()) {
			return;
		}
		Optional<HeadPreview> preview = HeadPreview.of(this.socket.peek());
		Optional<UnreadRequest> request = preview.flatMap(this::examine);
		this.headKnown = preview.map(HeadPreview::complete).orElse(false);
		this.permit = this.limiter.enqueue(request.map(UnreadRequest::urgency).orElseGet(this::leastUrgent), this.open);
		if (this.headKnown) {
			request.ifPresent((known) -> refuseAfterWait(known, preview.get().isHeadOnly()));
		}
	}

	/**
	 * Tells whether bytes of a request have arrived.
	 * @return whether the connection took its place
	 */
	synchronized boolean isPlaced() {
		return this.permit != null;
	}

	/**
	 * Tells whether the head was complete while the connection waited, or the connection
	 * did not wait. Called with the lock of the socket.
	 * @return whether it was
	 */
	boolean isHeadKnown() {
		return this.headKnown;
	}

	private Optional<UnreadRequest> examine(HeadPreview preview) {
		try {
			return Optional.of(this.requests.create(preview, this.socket.arrivals().next()));
		}
		catch (RuntimeException ex) {
			// The connection keeps its place, among the least urgent.
			Logger.error(ex, "can't examine a request that waits to be read");
			return Optional.empty();
		}
	}

	private Urgency leastUrgent() {
		return Urgency.unread(Ranks.LEAST_URGENT, this.socket.arrivals().next().monotonicMillis());
	}

	private void refuseAfterWait(UnreadRequest request, boolean headOnly) {
		this.timer = this.timers.schedule(Math.min(request.maxWaitMillis(), MAX_WAIT_MILLIS),
				() -> refuseIfWaiting(request, headOnly));
	}

	private boolean openAtOnce() {
		Optional<StartLimiter.Permit> free = this.limiter.tryAcquire();
		free.ifPresent((acquired) -> {
			this.permit = acquired;
			this.headKnown = true;
			this.executor.execute(this.open);
		});
		return free.isPresent();
	}

	private void refuseIfWaiting(UnreadRequest request, boolean headOnly) {
		synchronized (this) {
			if (!this.permit.withdraw()) {
				return;
			}
		}
		if (!this.socket.hasEnded()) {
			this.socket.answerUnread(FinalResponse.render(request.refuse(), headOnly));
		}
		this.connection.markOpened();
	}

	private synchronized void end() {
		this.ended = true;
		this.timer.cancel();
		if (this.permit != null) {
			this.permit.release();
		}
	}

}
