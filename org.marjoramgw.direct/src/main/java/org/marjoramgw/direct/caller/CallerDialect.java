package org.marjoramgw.direct.caller;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Names that a deployment uses towards callers.
 *
 * @author The marjoramgw authors
 */
public interface CallerDialect {

	/**
	 * Reads the head of a request.
	 * @param request the request
	 * @return what it says
	 */
	CallerRequest decode(HttpRequest request);

	/**
	 * Makes the answer for a caller from a backend server's: headers that concern one
	 * connection are taken off.
	 * @param response the backend server's answer
	 * @return the answer, its body still the backend server's
	 */
	HttpResponse toCallerResponse(HttpResponse response);

	/**
	 * Marks an answer of this process with the request that it belongs to.
	 * @param response the answer
	 * @param requestId id of the request
	 * @return the marked answer
	 */
	HttpResponse withRequestId(HttpResponse response, String requestId);

}
