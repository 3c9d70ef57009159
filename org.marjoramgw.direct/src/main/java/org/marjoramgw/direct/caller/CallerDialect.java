package org.marjoramgw.direct.caller;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;

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
	 * Tells whether the head of a request was read as it was sent. Otherwise the end of
	 * its body isn't certain, and it can't be forwarded unchanged.
	 * @param request the request
	 * @return whether it was
	 */
	boolean isIntact(HttpRequest request);

	/**
	 * Converts a backend server's response to the response for the caller by removing
	 * connection-specific headers.
	 * @param response response of the backend server
	 * @param body body for the caller, with the content type of the response
	 * @return the response for the caller
	 */
	HttpResponse toCallerResponse(HttpResponse response, ResponseEntity body);

	/**
	 * Adds the id of its request to a response that this process generated.
	 * @param response the response
	 * @param requestId id of the request
	 * @return the response with the id
	 */
	HttpResponse withRequestId(HttpResponse response, String requestId);

}
