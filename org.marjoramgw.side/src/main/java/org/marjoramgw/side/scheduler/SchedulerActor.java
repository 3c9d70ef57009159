package org.marjoramgw.side.scheduler;

import java.time.Duration;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.tinylog.Logger;

/**
 * Actor that passes commands to the scheduler one at a time.
 *
 * @author The marjoramgw authors
 */
public final class SchedulerActor extends AbstractBehavior<SchedulerCommand> {

	private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private final Scheduler scheduler;

	private SchedulerActor(ActorContext<SchedulerCommand> context, Scheduler scheduler) {
		super(context);
		this.scheduler = scheduler;
	}

	/**
	 * Creates the behavior.
	 * @param scheduler the scheduler; no other thread may pass commands to it
	 * @return the behavior
	 */
	public static Behavior<SchedulerCommand> create(Scheduler scheduler) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			timers.startTimerAtFixedRate(new SchedulerCommand.Tick(), TICK_INTERVAL);
			return new SchedulerActor(context, scheduler);
		}));
	}

	@Override
	public Receive<SchedulerCommand> createReceive() {
		return newReceiveBuilder().onMessage(SchedulerCommand.class, this::onCommand).build();
	}

	private Behavior<SchedulerCommand> onCommand(SchedulerCommand command) {
		try {
			this.scheduler.handle(command);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "scheduler command {} failed", command.getClass().getSimpleName());
		}
		return this;
	}

}
