package org.marjoramgw.standin;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;

/**
 * Actor system, timer and clock shared by all stand-ins of a process.
 *
 * @author The marjoramgw authors
 */
public final class StandinSystem implements AutoCloseable {

	private final ActorSystem<Void> actors = ActorSystem.create(Behaviors.empty(), "standin");

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor(new DaemonThreadFactory("standin-timer"));

	private final MillisClock clock = new SystemMillisClock();

	/**
	 * Returns the actor system that runs the HTTP endpoints.
	 * @return the actor system
	 */
	public ActorSystem<Void> actors() {
		return this.actors;
	}

	/**
	 * Returns the single-threaded timer. Its tasks must be short, since they all share
	 * the thread.
	 * @return the timer
	 */
	public ScheduledExecutorService timer() {
		return this.timer;
	}

	/**
	 * Returns the clock.
	 * @return the clock
	 */
	public MillisClock clock() {
		return this.clock;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.actors.terminate();
	}

}
