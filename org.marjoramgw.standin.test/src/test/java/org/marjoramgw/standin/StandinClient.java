package org.marjoramgw.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.HostPort;

/**
 * HTTP client of the contract tests.
 *
 * @author The marjoramgw authors
 */
public final class StandinClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final HostPort address;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param address address of the stand-in
	 * @param timeoutMillis timeout of a request, in milliseconds
	 */
	public StandinClient(HostPort address, long timeoutMillis) {
		this.address = address;
		this.timeout = Duration.ofMillis(timeoutMillis);
	}

	/**
	 * Sends a request.
	 * @param method HTTP method
	 * @param path path with a leading slash
	 * @param body request body
	 * @return the response
	 * @throws Exception if no complete response was received
	 */
	public HttpResponse<String> send(String method, String path, String body) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.address + path))
			.timeout(this.timeout)
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Sends a request and parses the JSON response.
	 * @param method HTTP method
	 * @param path path with a leading slash
	 * @param body request body
	 * @return the JSON body
	 * @throws Exception if no complete response was received
	 */
	public JsonNode sendForJson(String method, String path, String body) throws Exception {
		return MAPPER.readTree(send(method, path, body).body());
	}

}
