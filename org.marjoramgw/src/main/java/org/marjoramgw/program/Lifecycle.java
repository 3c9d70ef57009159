package org.marjoramgw.program;

import java.util.Locale;
import java.util.function.IntConsumer;
import java.util.function.LongConsumer;

import org.marjoramgw.MillisClock;
import org.tinylog.Logger;

/**
 * Course of a process from its start to its stop, in order at whatever moment a request
 * to stop or to reload comes; thread-safe.
 * <p>
 * What is requested during the start is remembered and done once the process has started.
 * The time of a stop counts from its request. Only the first request to stop counts.
 *
 * @author The marjoramgw authors
 */
public final class Lifecycle {

	private static final long NOT_REQUESTED = Long.MIN_VALUE;

	private final MillisClock clock;

	private final IntConsumer exit;

	private final long createdMillis;

	private long stopRequestedMillis = NOT_REQUESTED;

	private int exitCode;

	private boolean reloadRequested;

	private LongConsumer stop;

	private Runnable reload;

	/**
	 * Creates the lifecycle of a process that begins to start.
	 * @param clock monotonic clock
	 * @param exit ends the process with an exit code
	 */
	public Lifecycle(MillisClock clock, IntConsumer exit) {
		this.clock = clock;
		this.exit = exit;
		this.createdMillis = clock.nowMillis();
	}

	/**
	 * Returns the present phase.
	 * @return the phase
	 */
	public synchronized Phase phase() {
		if (this.stopRequestedMillis != NOT_REQUESTED) {
			return Phase.STOPPING;
		}
		return (this.stop != null) ? Phase.SERVING : Phase.STARTING;
	}

	/**
	 * Tells whether a stop was requested.
	 * @return whether the process stops, or will once it has started
	 */
	public boolean isStopping() {
		return phase() == Phase.STOPPING;
	}

	/**
	 * Ends the process now if a stop was requested; to be called before anything is
	 * accepted, when nothing is owed to anyone.
	 */
	public void exitIfStopping() {
		int code;
		synchronized (this) {
			if (this.stopRequestedMillis == NOT_REQUESTED) {
				return;
			}
			code = this.exitCode;
		}
		this.exit.accept(code);
	}

	/**
	 * Marks the end of the start and does what was requested during it.
	 * @param stop stops in order and returns when nothing is left to do; called in a
	 * thread of its own with the time of the request, in milliseconds of the monotonic
	 * clock; the process exits after it
	 * @param reload reads the settings again
	 */
	public void started(LongConsumer stop, Runnable reload) {
		boolean stopDue;
		boolean reloadDue;
		synchronized (this) {
			this.stop = stop;
			this.reload = reload;
			stopDue = this.stopRequestedMillis != NOT_REQUESTED;
			reloadDue = this.reloadRequested;
		}
		if (stopDue) {
			startStop();
		}
		if (reloadDue) {
			reload.run();
		}
	}

	/**
	 * Marks the end of the start of a process that doesn't read its settings again.
	 * @param stop stops in order, as above
	 */
	public void started(LongConsumer stop) {
		started(stop, () -> {
		});
	}

	/**
	 * Requests a stop.
	 * @param reason what requests it, for the log
	 * @param exitCode exit code of the process
	 */
	public void requestStop(String reason, int exitCode) {
		Phase phase;
		boolean stopDue;
		synchronized (this) {
			phase = phase();
			if (phase != Phase.STOPPING) {
				this.stopRequestedMillis = this.clock.nowMillis();
				this.exitCode = exitCode;
			}
			stopDue = phase == Phase.SERVING;
		}
		log(reason, phase);
		if (stopDue) {
			startStop();
		}
	}

	/**
	 * Requests that the settings are read again.
	 * @param reason what requests it, for the log
	 */
	public void requestReload(String reason) {
		Phase phase;
		Runnable due;
		synchronized (this) {
			phase = phase();
			this.reloadRequested = true;
			due = this.reload;
		}
		log(reason, phase);
		if (due != null) {
			due.run();
		}
	}

	private void log(String reason, Phase phase) {
		Logger.info("{} received phase={} age_ms={}", reason, phase.name().toLowerCase(Locale.ROOT),
				this.clock.nowMillis() - this.createdMillis);
	}

	private void startStop() {
		new Thread(this::stopAndExit, "stop").start();
	}

	private void stopAndExit() {
		try {
			this.stop.accept(this.stopRequestedMillis);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "stop failed");
		}
		finally {
			this.exit.accept(this.exitCode);
		}
	}

	/**
	 * Phase of a process.
	 */
	public enum Phase {

		/** Not everything is there yet that is needed to serve and to stop. */
		STARTING,

		/** Serves. */
		SERVING,

		/** A stop was requested, maybe during the start. */
		STOPPING

	}

}
