package org.marjoramgw.direct.forward;

/**
 * Owner of a forwarded request, which knows its caller and the process that handles it.
 *
 * @author The marjoramgw authors
 */
interface RequestOwner {

	/**
	 * Tells whether a request that was just received may begin.
	 * @param timeoutMillis time after which it ends at the latest, in milliseconds
	 * @return whether it may begin; false if the process stops before
	 */
	boolean mayBegin(long timeoutMillis);

	/**
	 * Checks the socket for a disconnect of the caller.
	 * @return whether the caller has disconnected
	 */
	boolean isCallerDisconnected();

	/**
	 * Tells whether the request has the place among starting requests that its connection
	 * was opened with.
	 * @return whether it has, until it was forwarded or answered
	 */
	boolean isStarting();

	/**
	 * Called when the request was forwarded or answered, or waits for a server; may be
	 * called more than once.
	 */
	void onStarted();

	/**
	 * Called once when the request is complete. Its response may still have to be
	 * written.
	 */
	void onEnd();

}
