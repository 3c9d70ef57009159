package org.marjoramgw.side.backend;

/**
 * The backend server beside this process.
 *
 * @author The marjoramgw authors
 */
public interface Backend {

	/**
	 * Starts a call; returns at once.
	 * @param request what to run
	 * @param listener receives the answer, from any one thread at a time
	 * @return the run
	 */
	BackendExecution start(BackendRequest request, BackendListener listener);

}
