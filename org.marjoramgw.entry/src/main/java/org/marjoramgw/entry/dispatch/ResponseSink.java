package org.marjoramgw.entry.dispatch;

import org.marjoramgw.ResultCode;
import org.marjoramgw.wire.Message;

/**
 * Receiver of the response to one request; called by one thread at a time.
 *
 * @author The marjoramgw authors
 */
public interface ResponseSink {

	/**
	 * Receives the next chunk of the response.
	 * @param payload text of a generation as UTF-8, or bytes of a plain service's body
	 */
	void onChunk(byte[] payload);

	/**
	 * Discards the chunks received so far, so that the call can run again from the start.
	 * @return {@code false} if some were already sent to the caller
	 */
	boolean tryReset();

	/**
	 * Completes the response.
	 * @param end the message that ended it
	 */
	void onEnd(Message.End end);

	/**
	 * Ends the response with an error.
	 * @param code result code of the request
	 * @param retryAfterMillis delay after which the caller may retry, in milliseconds, or
	 * 0 if unknown
	 */
	void onError(ResultCode code, long retryAfterMillis);

}
