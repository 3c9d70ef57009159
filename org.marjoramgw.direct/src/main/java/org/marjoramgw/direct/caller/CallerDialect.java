package org.marjoramgw.direct.caller;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Header conventions between a deployment and its callers.
 *
 * @author The marjoramgw authors
 */
public interface CallerDialect {

	/**
	 * Decodes the head of a request.
	 * @param request the request
	 * @return the decoded head
	 */
	CallerRequest decode(HttpRequest request);

	/**
	 * Converts a backend server's response to the response for the caller by removing
	 * connection-specific headers.
	 * @param response response of the backend server
	 * @return the response without a body
	 */
	HttpResponse toCallerResponse(HttpResponse response);

	/**
	 * Adds the id of its request to a response that this process generated.
	 * @param response the response
	 * @param requestId id of the request
	 * @return the response with the id
	 */
	HttpResponse withRequestId(HttpResponse response, String requestId);

}
