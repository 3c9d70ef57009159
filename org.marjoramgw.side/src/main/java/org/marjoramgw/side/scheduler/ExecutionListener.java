package org.marjoramgw.side.scheduler;

import java.util.function.Consumer;

import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.side.backend.BackendEnd;
import org.marjoramgw.side.backend.BackendListener;

/**
 * Listener that turns an answer of the backend server into commands.
 *
 * @author The marjoramgw authors
 */
final class ExecutionListener implements BackendListener {

	private final RequestKey key;

	private final int execution;

	private final Consumer<SchedulerCommand> events;

	ExecutionListener(RequestKey key, int execution, Consumer<SchedulerCommand> events) {
		this.key = key;
		this.execution = execution;
		this.events = events;
	}

	@Override
	public void onPart(int tokens, byte[] payload) {
		this.events.accept(new SchedulerCommand.Part(this.key, this.execution, tokens, payload));
	}

	@Override
	public void onEnd(BackendEnd end) {
		this.events.accept(new SchedulerCommand.Ended(this.key, this.execution, end));
	}

	@Override
	public void onFailure(ResultCode code) {
		this.events.accept(new SchedulerCommand.Failed(this.key, this.execution, code));
	}

}
