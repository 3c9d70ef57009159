package org.marjoramgw.side.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.OrderFencedException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.HttpReply;

/**
 * Sends orders to an engine over HTTP.
 *
 * @author The marjoramgw authors
 */
public final class HttpEngineOrderClient implements EngineOrderClient {

	private static final int HTTP_CONFLICT = 409;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.build();

	private final BlockingHttpClient httpClient;

	private final String baseUrl;

	/**
	 * Creates a client.
	 * @param httpClient the HTTP client
	 * @param baseUrl base URL of the engine without a trailing slash
	 */
	public HttpEngineOrderClient(BlockingHttpClient httpClient, String baseUrl) {
		this.httpClient = httpClient;
		this.baseUrl = baseUrl;
	}

	@Override
	public EngineState state() throws HttpCallException {
		String uri = this.baseUrl + "/state";
		HttpReply reply = this.httpClient.get(uri);
		reply.requireOk(uri);
		try {
			return MAPPER.readValue(reply.body(), EngineState.class);
		}
		catch (JsonProcessingException ex) {
			throw new HttpCallException(uri, false, ex);
		}
	}

	@Override
	public void send(EngineOrder order) throws OrderFencedException, HttpCallException {
		String uri = this.baseUrl + "/orders";
		HttpReply reply = this.httpClient.post(uri, json(order));
		if (reply.status() == HTTP_CONFLICT) {
			throw new OrderFencedException(
					order.action() + " of model " + order.model() + " with fencing number " + order.fencing());
		}
		reply.requireOk(uri);
	}

	private static String json(EngineOrder order) {
		try {
			return MAPPER.writeValueAsString(order);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode engine order", ex);
		}
	}

}
