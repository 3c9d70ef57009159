package org.marjoramgw.side.backend;

/**
 * Call that runs at the backend server.
 *
 * @author The marjoramgw authors
 */
public interface BackendRun {

	/**
	 * Stops the call as far as the backend server can; its listener hears no more.
	 */
	void cancel();

}
