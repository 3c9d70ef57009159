package org.marjoramgw.side.scheduler;

import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.side.backend.BackendResult;
import org.marjoramgw.wire.Message;

/**
 * Event that the scheduler handles, one at a time.
 *
 * @author The marjoramgw authors
 */
public sealed interface SchedulerCommand {

	/**
	 * An entry connected and was accepted.
	 *
	 * @param link its connection
	 */
	record EntryConnected(EntryLink link) implements SchedulerCommand {
	}

	/**
	 * A connection of an entry is gone.
	 *
	 * @param link the connection
	 */
	record EntryDisconnected(EntryLink link) implements SchedulerCommand {
	}

	/**
	 * An entry sent a message about a request.
	 *
	 * @param link its connection
	 * @param message the message
	 */
	record EntryMessage(EntryLink link, Message message) implements SchedulerCommand {
	}

	/**
	 * The backend server sent a part of an answer.
	 *
	 * @param key identity of the request
	 * @param execution number of the execution
	 * @param tokens tokens in the part
	 * @param payload the bytes
	 */
	record ResponsePart(RequestKey key, int execution, int tokens, byte[] payload) implements SchedulerCommand {
	}

	/**
	 * The backend server's answer is whole.
	 *
	 * @param key identity of the request
	 * @param execution number of the execution
	 * @param result how it ended
	 */
	record ResponseCompleted(RequestKey key, int execution, BackendResult result) implements SchedulerCommand {
	}

	/**
	 * The backend server gave no whole answer.
	 *
	 * @param key identity of the request
	 * @param execution number of the execution
	 * @param code why
	 */
	record ExecutionFailed(RequestKey key, int execution, ResultCode code) implements SchedulerCommand {
	}

	/**
	 * The claim of a key was decided.
	 *
	 * @param key identity of the request
	 * @param claim the claim
	 * @param verdict the verdict
	 */
	record ClaimDecided(RequestKey key, ClaimKey claim, ClaimDecision verdict) implements SchedulerCommand {
	}

	/**
	 * Another configuration is in force.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationChanged(Configuration configuration) implements SchedulerCommand {
	}

	/**
	 * Time has passed.
	 */
	record Tick() implements SchedulerCommand {
	}

	/**
	 * The process is to leave.
	 */
	record Drain() implements SchedulerCommand {
	}

}
