package org.marjoramgw.side.weightstore;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.WeightStoreBusyException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.HttpReply;

/**
 * Client of the weight store over HTTP.
 *
 * @author The marjoramgw authors
 */
public final class HttpWeightStore implements WeightStore {

	private static final int HTTP_TOO_MANY_REQUESTS = 429;

	private final BlockingHttpClient httpClient;

	private final String baseUrl;

	/**
	 * Creates a client.
	 * @param httpClient the HTTP client; its timeout has to cover a whole load
	 * @param baseUrl base URL of the weight store without a trailing slash
	 */
	public HttpWeightStore(BlockingHttpClient httpClient, String baseUrl) {
		this.httpClient = httpClient;
		this.baseUrl = baseUrl;
	}

	@Override
	public void prepare(String model) throws WeightStoreBusyException, HttpCallException {
		String uri = this.baseUrl + "/weights/" + URLEncoder.encode(model, StandardCharsets.UTF_8);
		HttpReply reply = this.httpClient.get(uri);
		if (reply.status() == HTTP_TOO_MANY_REQUESTS) {
			throw new WeightStoreBusyException(model);
		}
		reply.requireOk(uri);
	}

}
