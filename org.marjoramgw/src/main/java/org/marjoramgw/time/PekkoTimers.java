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
			.scheduleOnce(Duration.ofMillis(delayMillis), task, this.system.executionContext());
		return scheduled::cancel;
	}

}
