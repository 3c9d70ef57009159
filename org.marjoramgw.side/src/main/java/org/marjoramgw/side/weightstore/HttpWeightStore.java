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

	private final BlockingHttpClient httpCaller;

	private final String baseUrl;

	/**
	 * Creates a client.
	 * @param caller the HTTP client; its timeout has to cover a whole load
	 * @param baseUrl base URL of the weight store without a trailing slash
	 */
	public HttpWeightStore(BlockingHttpClient caller, String baseUrl) {
		this.httpCaller = caller;
		this.baseUrl = baseUrl;
	}

	@Override
	public void prepare(String model) throws WeightStoreBusyException, HttpCallException {
		String uri = this.baseUrl + "/weights/" + URLEncoder.encode(model, StandardCharsets.UTF_8);
		HttpReply reply = this.httpCaller.get(uri);
		if (reply.status() == HTTP_TOO_MANY_REQUESTS) {
			throw new WeightStoreBusyException(model);
		}
		if (!reply.isOk()) {
			throw new HttpCallException(uri + " returned HTTP status " + reply.status(), false, null);
		}
	}

}
