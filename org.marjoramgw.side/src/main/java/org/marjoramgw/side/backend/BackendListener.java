package org.marjoramgw.side.backend;

import org.marjoramgw.ResultCode;

/**
 * Receiver of a backend server's answer.
 *
 * @author The marjoramgw authors
 */
public interface BackendListener {

	/**
	 * Receives a part of the answer.
	 * @param tokens tokens in the part, 0 for a plain service
	 * @param payload the bytes
	 */
	void onPart(int tokens, byte[] payload);

	/**
	 * Learns that the answer is whole.
	 * @param end how it ended
	 */
	void onComplete(BackendResult end);

	/**
	 * Learns that there is no whole answer.
	 * @param code why; its outcome says whether the call ran
	 */
	void onFailure(ResultCode code);

}
