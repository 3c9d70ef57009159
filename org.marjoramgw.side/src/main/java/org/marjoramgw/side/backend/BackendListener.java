package org.marjoramgw.side.backend;

import org.marjoramgw.ResultCode;

/**
 * Listener for the response to one execution.
 *
 * @author The marjoramgw authors
 */
public interface BackendListener {

	/**
	 * Called for each part of the response body.
	 * @param tokens number of tokens in the part, 0 for a plain service
	 * @param payload bytes of the part
	 */
	void onPart(int tokens, byte[] payload);

	/**
	 * Called when the response is complete.
	 * @param result result of the execution
	 */
	void onComplete(BackendResult result);

	/**
	 * Called when the execution ended without a complete response.
	 * @param code result code; its outcome tells whether the call ran
	 */
	void onFailure(ResultCode code);

}
