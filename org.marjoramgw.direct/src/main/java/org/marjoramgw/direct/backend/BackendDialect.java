package org.marjoramgw.direct.backend;

import java.util.OptionalLong;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Header conventions between a deployment and its backend servers.
 *
 * @author The marjoramgw authors
 */
public interface BackendDialect {

	/**
	 * Converts a caller's request to the request for a backend server.
	 * <p>
	 * Removes connection-specific headers and headers that only this process may set.
	 * Method, target, body and all other headers are kept unchanged.
	 * @param request request of the caller with its complete body
	 * @param metadata metadata that this process adds
	 * @return the request to send
	 */
	HttpRequest toBackendRequest(HttpRequest request, ForwardingMetadata metadata);

	/**
	 * Determines from the head of a response whether the request was executed.
	 * @param response the response
	 * @param requestId id of the request that was sent
	 * @param reused whether the connection carried other requests before, whose responses
	 * the server may repeat
	 * @return kind of the response
	 */
	ResponseKind classify(HttpResponse response, String requestId, boolean reused);

	/**
	 * Determines from the head of a response whether its server says that it leaves.
	 * @param response the response, of any kind
	 * @param serverId id of the server that the request was sent to
	 * @param requestId id of the request that was sent
	 * @param reused whether the connection carried other requests before
	 * @return whether it says so and the response is one of that server to this request
	 */
	boolean announcesLeaving(HttpResponse response, String serverId, String requestId, boolean reused);

	/**
	 * Reads for how long a server wants no requests of this process.
	 * @param response head of its response
	 * @param serverId id of the server that the request was sent to
	 * @param requestId id of the request
	 * @param reused whether the connection carried other requests before
	 * @return time in milliseconds, or empty if it didn't ask for that
	 */
	OptionalLong pauseMillis(HttpResponse response, String serverId, String requestId, boolean reused);

}
