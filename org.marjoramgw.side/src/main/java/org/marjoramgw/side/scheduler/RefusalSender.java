package org.marjoramgw.side.scheduler;

import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.wire.Message;

/**
 * Refusals of requests that hold nothing here, noted and sent to their entries.
 *
 * @author The marjoramgw authors
 */
final class RefusalSender {

	private final Journal journal;

	RefusalSender(Journal journal) {
		this.journal = journal;
	}

	/**
	 * Notes a refusal and sends it.
	 * @param link connection of the entry
	 * @param key the request
	 * @param code why
	 * @param retryAfterMillis when to come back, in milliseconds, or 0
	 * @param detail what the record of decisions says besides
	 */
	void send(EntryLink link, RequestKey key, ResultCode code, long retryAfterMillis, String detail) {
		this.journal.recordDecision(key.requestId(), "refuse", code, "attempt=" + key.attempt() + " " + detail);
		link.send(new Message.Refusal(key.requestId(), key.attempt(), code.number(), retryAfterMillis));
	}

}
