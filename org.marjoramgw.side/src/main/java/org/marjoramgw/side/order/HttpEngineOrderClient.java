package org.marjoramgw.side.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.OrderFencedException;
import org.marjoramgw.http.HttpCaller;
import org.marjoramgw.http.HttpReply;

/**
 * Engine that takes orders over HTTP.
 *
 * @author The marjoramgw authors
 */
public final class HttpEngineOrderClient implements EngineOrderClient {

	private static final int HTTP_CONFLICT = 409;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.build();

	private final HttpCaller caller;

	private final String baseUrl;

	/**
	 * Creates a client.
	 * @param caller the HTTP client
	 * @param baseUrl address of the engine without a trailing slash
	 */
	public HttpEngineOrderClient(HttpCaller caller, String baseUrl) {
		this.caller = caller;
		this.baseUrl = baseUrl;
	}

	@Override
	public EngineState state() throws HttpCallException {
		String uri = this.baseUrl + "/state";
		HttpReply reply = this.caller.get(uri);
		requireOk(uri, reply);
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
		HttpReply reply = this.caller.post(uri, json(order));
		if (reply.status() == HTTP_CONFLICT) {
			throw new OrderFencedException(order.action() + " of " + order.model() + " with " + order.fencing());
		}
		requireOk(uri, reply);
	}

	private static void requireOk(String uri, HttpReply reply) throws HttpCallException {
		if (!reply.isOk()) {
			throw new HttpCallException(uri + " answered " + reply.status(), false, null);
		}
	}

	private static String json(EngineOrder order) {
		try {
			return MAPPER.writeValueAsString(order);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("order can't be encoded", ex);
		}
	}

}
