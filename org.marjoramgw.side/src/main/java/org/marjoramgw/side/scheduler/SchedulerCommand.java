package org.marjoramgw.side.scheduler;

import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.side.backend.BackendResult;
import org.marjoramgw.wire.Message;

/**
 * Command to the scheduler.
 *
 * @author The marjoramgw authors
 */
public sealed interface SchedulerCommand {

	/**
	 * An entry connected and passed the checks of its hello message.
	 *
	 * @param link connection to the entry
	 */
	record EntryConnected(EntryLink link) implements SchedulerCommand {
	}

	/**
	 * A connection to an entry was closed.
	 *
	 * @param link the closed connection
	 */
	record EntryDisconnected(EntryLink link) implements SchedulerCommand {
	}

	/**
	 * An entry sent a message about a request.
	 *
	 * @param link connection to the entry
	 * @param message the message
	 */
	record EntryMessage(EntryLink link, Message message) implements SchedulerCommand {
	}

	/**
	 * The backend server sent part of a response.
	 *
	 * @param key identity of the request
	 * @param execution number of the execution
	 * @param tokens number of tokens in the part
	 * @param payload bytes of the response body
	 */
	record ResponsePart(RequestKey key, int execution, int tokens, byte[] payload) implements SchedulerCommand {
	}

	/**
	 * The backend server completed its response.
	 *
	 * @param key identity of the request
	 * @param execution number of the execution
	 * @param result result of the execution
	 */
	record ResponseCompleted(RequestKey key, int execution, BackendResult result) implements SchedulerCommand {
	}

	/**
	 * An execution ended without a complete response.
	 *
	 * @param key identity of the request
	 * @param execution number of the execution
	 * @param code result code of the failure
	 */
	record ExecutionFailed(RequestKey key, int execution, ResultCode code) implements SchedulerCommand {
	}

	/**
	 * The claim of an idempotency key was decided.
	 *
	 * @param key identity of the request
	 * @param claim the claim
	 * @param decision the decision on the claim
	 */
	record ClaimDecided(RequestKey key, ClaimKey claim, ClaimDecision decision) implements SchedulerCommand {
	}

	/**
	 * Another configuration is in effect.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationChanged(Configuration configuration) implements SchedulerCommand {
	}

	/**
	 * Periodic timer tick.
	 */
	record Tick() implements SchedulerCommand {
	}

	/**
	 * Starts a graceful shutdown.
	 */
	record Drain() implements SchedulerCommand {
	}

}
