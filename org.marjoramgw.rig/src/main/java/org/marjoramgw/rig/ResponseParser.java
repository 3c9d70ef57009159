package org.marjoramgw.rig;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Builds a {@link CallResult} from the body of an HTTP response.
 *
 * @author The marjoramgw authors
 */
final class ResponseParser {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String DATA = "data:";

	private static final String DONE = "[DONE]";

	private final int status;

	private final String requestId;

	private final long retryAfterSeconds;

	private final TokenListener listener;

	private final StringBuilder text = new StringBuilder();

	private boolean complete;

	private int errorCode;

	private String outcome = "";

	ResponseParser(int status, String requestId, long retryAfterSeconds, TokenListener listener) {
		this.status = status;
		this.requestId = requestId;
		this.retryAfterSeconds = retryAfterSeconds;
		this.listener = listener;
	}

	void readEventLine(String line) {
		if (!line.startsWith(DATA)) {
			return;
		}
		String data = line.substring(DATA.length()).trim();
		if (DONE.equals(data)) {
			this.complete = this.errorCode == 0;
			return;
		}
		JsonNode event = parse(data);
		if (event.has("error")) {
			readError(event);
			return;
		}
		String token = event.path("choices").path(0).path("delta").path("content").asText("");
		if (!token.isEmpty()) {
			this.text.append(token);
			this.listener.onToken(token);
		}
	}

	void readPlainBody(String body) {
		this.complete = this.status < 300;
		if (!this.complete) {
			readError(parse(body));
		}
		this.text.append(body);
	}

	void readChatBody(String body) {
		JsonNode node = parse(body);
		this.complete = this.status < 300;
		if (!this.complete) {
			readError(node);
			return;
		}
		String content = node.path("choices").path(0).path("message").path("content").asText("");
		this.text.append(content);
		this.listener.onToken(content);
	}

	CallResult result(String failure) {
		return new CallResult(this.status, this.requestId, this.text.toString(), this.complete && failure.isEmpty(),
				this.errorCode, this.outcome, this.retryAfterSeconds, failure);
	}

	private void readError(JsonNode node) {
		this.complete = false;
		this.errorCode = node.path("error").path("code").asInt(0);
		this.outcome = node.path("error").path("outcome").asText("");
	}

	private static JsonNode parse(String json) {
		try {
			return MAPPER.readTree(json);
		}
		catch (JsonProcessingException ex) {
			return MAPPER.createObjectNode();
		}
	}

}
