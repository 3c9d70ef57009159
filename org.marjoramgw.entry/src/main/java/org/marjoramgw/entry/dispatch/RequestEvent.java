package org.marjoramgw.entry.dispatch;

import org.marjoramgw.wire.Message;

/**
 * Event that the actor of a request receives.
 *
 * @author The marjoramgw authors
 */
public sealed interface RequestEvent {

	/**
	 * A side process sent a message about this request.
	 *
	 * @param sideId process id of the side process
	 * @param message the message
	 */
	record MessageReceived(String sideId, Message message) implements RequestEvent {
	}

	/**
	 * The connection to a side process was lost.
	 *
	 * @param sideId process id of the side process
	 */
	record SideDisconnected(String sideId) implements RequestEvent {
	}

	/**
	 * A connection to a side process was established.
	 *
	 * @param sideId process id of the side process
	 * @param incarnation incarnation of the side process; differs from that of a run if
	 * the process has restarted since
	 */
	record SideConnected(String sideId, long incarnation) implements RequestEvent {
	}

	/**
	 * An attempt to connect to a side process failed.
	 *
	 * @param sideId process id of the side process
	 */
	record SideUnreachable(String sideId) implements RequestEvent {
	}

	/**
	 * The caller closed its connection.
	 */
	record CallerDisconnected() implements RequestEvent {
	}

	/**
	 * The backoff before a retry has elapsed.
	 */
	record RetryDue() implements RequestEvent {
	}

	/**
	 * The time to wait for a grant before reserving at one more side process has elapsed.
	 */
	record WidenDue() implements RequestEvent {
	}

	/**
	 * The latest useful start time has passed.
	 */
	record StartDeadline() implements RequestEvent {
	}

	/**
	 * The deadline for the complete response has passed.
	 */
	record FinishDeadline() implements RequestEvent {
	}

	/**
	 * The time that an interrupted run waits for a new connection has elapsed.
	 *
	 * @param attempt attempt number of the run
	 */
	record ResumeDeadline(int attempt) implements RequestEvent {
	}

}
