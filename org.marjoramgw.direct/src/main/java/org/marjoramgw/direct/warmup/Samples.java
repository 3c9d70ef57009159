package org.marjoramgw.direct.warmup;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.HostPort;

/**
 * Sample messages in the formats of a deployment.
 *
 * @author The marjoramgw authors
 */
public interface Samples {

	/** Id of the sample backend server. */
	String SERVER_ID = "sample";

	/**
	 * Returns a configuration with one plain and one streaming route.
	 * @return bytes of its record
	 */
	byte[] configuration();

	/**
	 * Returns the registration of the backend server that serves both routes.
	 * @param address address of the server
	 * @return bytes of its record
	 */
	byte[] registration(HostPort address);

	/**
	 * Returns a caller's request.
	 * @param number number of the request; even ones go to the streaming route
	 * @return the request
	 */
	HttpRequest request(int number);

	/**
	 * Returns a backend server's answer.
	 * @param request the request as it reached the server
	 * @return the answer
	 */
	HttpResponse respond(HttpRequest request);

}
