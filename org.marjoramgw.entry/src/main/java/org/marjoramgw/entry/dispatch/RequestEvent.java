package org.marjoramgw.entry.dispatch;

import org.marjoramgw.wire.Message;

/**
 * Event in the course of one request.
 *
 * @author The marjoramgw authors
 */
public sealed interface RequestEvent {

	/**
	 * Message from a side process.
	 *
	 * @param sideId process id of the side process
	 * @param message the message
	 */
	record MessageReceived(String sideId, Message message) implements RequestEvent {
	}

	/**
	 * Connection to a side process was lost.
	 *
	 * @param sideId process id of the side process
	 */
	record SideDisconnected(String sideId) implements RequestEvent {
	}

	/**
	 * Connection to a side process is open again.
	 *
	 * @param sideId process id of the side process
	 * @param incarnation its incarnation
	 */
	record SideConnected(String sideId, long incarnation) implements RequestEvent {
	}

	/**
	 * A new connection to a side process was refused.
	 *
	 * @param sideId process id of the side process
	 */
	record SideUnreachable(String sideId) implements RequestEvent {
	}

	/**
	 * Caller closed its connection.
	 */
	record CallerDisconnected() implements RequestEvent {
	}

	/**
	 * Wait before a retry is over.
	 */
	record RetryDue() implements RequestEvent {
	}

	/**
	 * No grant came for a while.
	 */
	record WidenDue() implements RequestEvent {
	}

	/**
	 * Latest useful start has passed.
	 */
	record StartDeadline() implements RequestEvent {
	}

	/**
	 * Deadline of the request has passed.
	 */
	record FinishDeadline() implements RequestEvent {
	}

	/**
	 * Wait for a new connection to the side process of a run is over.
	 *
	 * @param attempt attempt that waited
	 */
	record ResumeDeadline(int attempt) implements RequestEvent {
	}

}
