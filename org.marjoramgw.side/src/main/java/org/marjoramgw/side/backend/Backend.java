package org.marjoramgw.side.backend;

/**
 * Backend server that this side process schedules requests for.
 *
 * @author The marjoramgw authors
 */
public interface Backend {

	/**
	 * Starts an execution without waiting for the response.
	 * @param request the request to execute
	 * @param listener receives the response, from any thread but not concurrently
	 * @return the execution
	 */
	BackendExecution start(BackendRequest request, BackendListener listener);

}
