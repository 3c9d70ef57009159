package org.marjoramgw.direct.backend;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Names that a deployment uses towards its backend servers.
 *
 * @author The marjoramgw authors
 */
public interface BackendDialect {

	/**
	 * Makes the request for a backend server from a caller's.
	 * <p>
	 * Method, target, body and all other headers stay as they are; headers that concern
	 * one connection or that only this process may set are taken off.
	 * @param request the caller's request with its whole body
	 * @param orders what this process adds
	 * @return the request to send
	 */
	HttpRequest toBackendRequest(HttpRequest request, ForwardingMetadata orders);

	/**
	 * Tells what an answer says about execution.
	 * @param response the answer
	 * @param requestId id of the request that was sent
	 * @return what it says
	 */
	ResponseKind classify(HttpResponse response, String requestId);

}
