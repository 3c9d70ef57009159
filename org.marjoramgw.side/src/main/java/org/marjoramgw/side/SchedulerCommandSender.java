package org.marjoramgw.side;

import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.marjoramgw.side.scheduler.SchedulerCommand;

/**
 * Way back to the scheduler's actor for those that are made before it.
 *
 * @author The marjoramgw authors
 */
final class SchedulerCommandSender implements Consumer<SchedulerCommand> {

	private volatile ActorRef<SchedulerCommand> schedulerActor;

	/**
	 * Opens the way; nothing is sent before.
	 * @param scheduler the actor
	 */
	void bind(ActorRef<SchedulerCommand> scheduler) {
		this.schedulerActor = scheduler;
	}

	@Override
	public void accept(SchedulerCommand command) {
		this.schedulerActor.tell(command);
	}

}
