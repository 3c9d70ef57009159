package org.marjoramgw.side.backend;

/**
 * Execution of a request at the backend server.
 *
 * @author The marjoramgw authors
 */
public interface BackendExecution {

	/**
	 * Cancels the execution, as far as the backend server supports it. The listener is
	 * not called any more.
	 */
	void cancel();

}
