package org.marjoramgw.side;

import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.marjoramgw.side.scheduler.SchedulerCommand;

/**
 * Sends commands to the scheduler actor. Lets components that are created before the
 * actor hold a reference to it.
 *
 * @author The marjoramgw authors
 */
final class SchedulerCommandSender implements Consumer<SchedulerCommand> {

	private volatile ActorRef<SchedulerCommand> schedulerActor;

	/**
	 * Sets the actor. Must be called before the first command is sent.
	 * @param scheduler the actor that handles the commands
	 */
	void bind(ActorRef<SchedulerCommand> scheduler) {
		this.schedulerActor = scheduler;
	}

	@Override
	public void accept(SchedulerCommand command) {
		this.schedulerActor.tell(command);
	}

}
