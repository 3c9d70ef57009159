package org.marjoramgw.entry.dispatch;

import org.marjoramgw.ResultCode;
import org.marjoramgw.wire.Message;

/**
 * Receiver of the answer to one request; called from one thread at a time.
 *
 * @author The marjoramgw authors
 */
public interface ResponseSink {

	/**
	 * Takes the next part of the answer.
	 * @param payload bytes of the part
	 */
	void onChunk(byte[] payload);

	/**
	 * Drops the parts taken so far, since the call runs again from the start.
	 * @return whether that was possible
	 */
	boolean tryReset();

	/**
	 * Completes the answer.
	 * @param end end of the answer
	 */
	void onEnd(Message.End end);

	/**
	 * Ends the answer with an error.
	 * @param code the result
	 * @param retryAfterMillis when to come back, in milliseconds, or 0
	 */
	void onError(ResultCode code, long retryAfterMillis);

}
