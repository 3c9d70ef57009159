package org.marjoramgw.side.scheduler;

import java.util.function.Consumer;

import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.side.backend.BackendListener;
import org.marjoramgw.side.backend.BackendResult;

/**
 * Listener that translates events of one backend response into scheduler commands.
 *
 * @author The marjoramgw authors
 */
final class ExecutionListener implements BackendListener {

	private final RequestKey key;

	private final int execution;

	private final Consumer<SchedulerCommand> commands;

	ExecutionListener(RequestKey key, int execution, Consumer<SchedulerCommand> commands) {
		this.key = key;
		this.execution = execution;
		this.commands = commands;
	}

	@Override
	public void onPart(int tokens, byte[] payload) {
		this.commands.accept(new SchedulerCommand.ResponsePart(this.key, this.execution, tokens, payload));
	}

	@Override
	public void onComplete(BackendResult result) {
		this.commands.accept(new SchedulerCommand.ResponseCompleted(this.key, this.execution, result));
	}

	@Override
	public void onFailure(ResultCode code) {
		this.commands.accept(new SchedulerCommand.ExecutionFailed(this.key, this.execution, code));
	}

}
