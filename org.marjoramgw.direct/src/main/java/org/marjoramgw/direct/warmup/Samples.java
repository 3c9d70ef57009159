package org.marjoramgw.direct.warmup;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.HostPort;

/**
 * Sample messages for the warm-up, in the formats of a deployment.
 *
 * @author The marjoramgw authors
 */
public interface Samples {

	/** Id of the sample backend server. */
	String SERVER_ID = "sample";

	/**
	 * Returns a configuration with one non-streaming and one streaming route.
	 * @return value of the configuration's record
	 */
	byte[] configuration();

	/**
	 * Returns the registration of the backend server that serves both routes.
	 * @param address address of the server
	 * @return value of the registration's record
	 */
	byte[] registration(HostPort address);

	/**
	 * Creates a caller's request.
	 * @param number sequence number; even numbers use the streaming route
	 * @return the request
	 */
	HttpRequest request(int number);

	/**
	 * Creates a backend server's response.
	 * @param request the request received by the server
	 * @return the response
	 */
	HttpResponse respond(HttpRequest request);

}
