package org.marjoramgw.side.scheduler;

import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.wire.Message;

/**
 * Records refusals of requests that this process does not hold and sends them to their
 * entries.
 *
 * @author The marjoramgw authors
 */
final class RefusalSender {

	private final Journal journal;

	RefusalSender(Journal journal) {
		this.journal = journal;
	}

	/**
	 * Records a refusal in the decision log and sends it.
	 * @param link connection to the entry
	 * @param key identity of the request
	 * @param code result code
	 * @param retryAfterMillis delay before a retry, in milliseconds, or 0 for none
	 * @param detail additional text for the decision log
	 */
	void send(EntryLink link, RequestKey key, ResultCode code, long retryAfterMillis, String detail) {
		this.journal.recordDecision(key.requestId(), "refuse", code, "attempt=" + key.attempt() + " " + detail);
		link.send(new Message.Refusal(key.requestId(), key.attempt(), code.number(), retryAfterMillis));
	}

}
