package org.marjoramgw.direct;

import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.caller.CallerListener;
import org.marjoramgw.direct.forward.Forwarder;
import org.marjoramgw.direct.socket.SocketAcceptor;
import org.marjoramgw.policy.drain.DrainSchedule;
import org.marjoramgw.program.Pause;
import org.tinylog.Logger;

/**
 * Graceful stop of the callers' side of a process, in order: accepts until the load
 * balancer has noticed, then ends idle connections and waits until the responses to open
 * requests were written, and at the end answers the requests that have no response.
 *
 * @author The marjoramgw authors
 */
final class GracefulStop {

	/** Time that the load balancer needs to remove this process, in milliseconds. */
	private static final long BALANCER_REMOVAL_MILLIS = 2_600;

	/** Margin between the orderly exit and the forced kill, in milliseconds. */
	private static final long STOP_MARGIN_MILLIS = 700;

	/**
	 * Time before the end at which all requests that still wait unread are read, to be
	 * refused unless they end in time, in milliseconds.
	 */
	private static final long LAST_READ_MILLIS = 1_000;

	private static final long OPEN_POLL_MILLIS = 50;

	/**
	 * Time in which the last answers are written and the peers close, in milliseconds.
	 */
	private static final long FINAL_WRITE_MILLIS = 300;

	private final MillisClock clock;

	private final Forwarder forwarder;

	private final CallerListener listener;

	private final SocketAcceptor acceptor;

	/**
	 * Creates a stop.
	 * @param clock monotonic clock
	 * @param forwarder forwarder of the callers' requests
	 * @param listener listener of the callers' connections
	 * @param acceptor acceptor of these connections
	 */
	GracefulStop(MillisClock clock, Forwarder forwarder, CallerListener listener, SocketAcceptor acceptor) {
		this.clock = clock;
		this.forwarder = forwarder;
		this.listener = listener;
		this.acceptor = acceptor;
	}

	/**
	 * Stops; blocks until nothing is left to write, but not beyond the grace period.
	 * @param requestedMillis time of the monotonic clock at which the stop was requested,
	 * in milliseconds
	 * @param graceMillis time from the request until the process is killed, in
	 * milliseconds
	 */
	void run(long requestedMillis, long graceMillis) {
		DrainSchedule schedule = new DrainSchedule(requestedMillis + BALANCER_REMOVAL_MILLIS,
				requestedMillis + graceMillis - STOP_MARGIN_MILLIS);
		this.forwarder.startDraining(schedule);
		Logger.info("stopping with {} open requests, {} ms after the request to stop", this.forwarder.openCount(),
				this.clock.nowMillis() - requestedMillis);
		pauseUntil(Math.min(schedule.refuseFromMillis(), schedule.endMillis()));
		this.acceptor.stopAccepting();
		drainUntil(schedule.endMillis() - LAST_READ_MILLIS);
		this.listener.readAllWaiting();
		drainUntil(schedule.endMillis());
		this.forwarder.giveUpUnanswered();
		Pause.millis(FINAL_WRITE_MILLIS);
		Logger.info("stopped with {} open requests and {} open connections, {} of them waiting unread",
				this.forwarder.openCount(), this.listener.openCount(), this.listener.waitingCount());
	}

	private void drainUntil(long endMillis) {
		this.listener.finishIdle();
		while (isServing() && this.clock.nowMillis() < endMillis) {
			Pause.millis(OPEN_POLL_MILLIS);
			this.listener.finishIdle();
		}
	}

	private void pauseUntil(long endMillis) {
		Pause.millis(Math.max(0, endMillis - this.clock.nowMillis()));
	}

	private boolean isServing() {
		return this.acceptor.isAccepting() || this.forwarder.openCount() > 0 || this.listener.openCount() > 0;
	}

}
