package org.marjoramgw.time;

import java.time.Duration;

import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;

/**
 * Timers backed by the scheduler of a Pekko actor system.
 *
 * @author The marjoramgw authors
 */
public final class PekkoTimers implements Timers {

	/**
	 * Longest delay, in milliseconds. The scheduler rejects delays that are much longer.
	 */
	private static final long MAX_DELAY_MILLIS = 86_400_000;

	private final ActorSystem<?> system;

	/**
	 * Creates timers.
	 * @param system the actor system
	 */
	public PekkoTimers(ActorSystem<?> system) {
		this.system = system;
	}

	@Override
	public Handle schedule(long delayMillis, Runnable task) {
		Cancellable scheduled = this.system.scheduler()
			.scheduleOnce(Duration.ofMillis(Math.min(delayMillis, MAX_DELAY_MILLIS)), task,
					this.system.executionContext());
		return scheduled::cancel;
	}

}
