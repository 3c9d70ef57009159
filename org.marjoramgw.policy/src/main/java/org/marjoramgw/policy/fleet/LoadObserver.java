package org.marjoramgw.policy.fleet;

import java.util.List;

/**
 * Receiver of the course of the requests of this process.
 *
 * @author The marjoramgw authors
 */
public interface LoadObserver {

	/** Observer that ignores everything. */
	LoadObserver NONE = (serverKey, sharedParts, promptTokens, targetMillis) -> RequestObserver.NONE;

	/**
	 * Called when a request is sent.
	 * @param serverKey key of the server, see {@link FleetKeys#serverKey}
	 * @param sharedParts shared parts of its prompt in order, empty if it has none
	 * @param promptTokens all tokens of its prompt, 0 for a request without one
	 * @param targetMillis time after the send within which its first token is timely, in
	 * milliseconds
	 * @return receiver of its further course
	 */
	RequestObserver onSent(int serverKey, List<SharedPart> sharedParts, int promptTokens, long targetMillis);

	/**
	 * Tells whether a server has to prefill shared parts of a prompt, because they were
	 * not sent there lately.
	 * @param serverKey key of the server
	 * @param sharedParts shared parts of the prompt in order
	 * @return whether it has to
	 */
	default boolean isCold(int serverKey, List<SharedPart> sharedParts) {
		return false;
	}

	/**
	 * Receiver of the further course of one request.
	 */
	interface RequestObserver {

		/** Observer that ignores everything. */
		RequestObserver NONE = new RequestObserver() {

			@Override
			public void onFirstToken() {
			}

			@Override
			public void onPause(long pauseMillis) {
			}

			@Override
			public void onEnd(boolean failed) {
			}

		};

		/**
		 * Called when the first token of the answer arrived; further calls do nothing.
		 */
		void onFirstToken();

		/**
		 * Called at each further event of a stream.
		 * @param pauseMillis time since the event before it, in milliseconds
		 */
		void onPause(long pauseMillis);

		/**
		 * Called when the request ended; further calls do nothing.
		 * @param failed whether the server failed
		 */
		void onEnd(boolean failed);

	}

}
