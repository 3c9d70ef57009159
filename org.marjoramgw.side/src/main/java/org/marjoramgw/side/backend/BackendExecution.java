package org.marjoramgw.side.backend;

/**
 * Call that runs at the backend server.
 *
 * @author The marjoramgw authors
 */
public interface BackendExecution {

	/**
	 * Stops the call as far as the backend server can; its listener hears no more.
	 */
	void cancel();

}
