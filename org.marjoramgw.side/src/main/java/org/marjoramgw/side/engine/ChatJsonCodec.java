package org.marjoramgw.side.engine;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.marjoramgw.side.backend.BackendRequest;

/**
 * JSON codec of the engine's chat completion protocol.
 *
 * @author The marjoramgw authors
 */
final class ChatJsonCodec {

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Encodes a request: adds the fields that the engine needs to the caller's body.
	 * @param request the request
	 * @return the body to send to the engine
	 * @throws JsonProcessingException if the caller's body is not a JSON object
	 */
	String encodeRequest(BackendRequest request) throws JsonProcessingException {
		String text = new String(request.call().body(), StandardCharsets.UTF_8);
		ObjectNode body = this.mapper.readValue(text, ObjectNode.class);
		body.put("stream", true);
		body.put("request_id", request.executionId());
		body.put("priority", request.tier());
		if (!request.continueFrom().isEmpty()) {
			body.put("continue_from", request.continueFrom());
		}
		return this.mapper.writeValueAsString(body);
	}

	/**
	 * Decodes one server-sent event.
	 * @param data data field of the event
	 * @return the text and the finish reason, each empty if absent
	 * @throws JsonProcessingException if the data is not a chat chunk
	 */
	ChatEvent decodeEvent(String data) throws JsonProcessingException {
		JsonNode choice = this.mapper.readTree(data).path("choices").path(0);
		String text = choice.path("delta").path("content").asText("");
		String reason = choice.path("finish_reason").asText("");
		return new ChatEvent(text, "null".equals(reason) ? "" : reason);
	}

	/**
	 * One event of a streamed chat completion.
	 *
	 * @param text text of the token, or an empty string
	 * @param finishReason reason why the engine stopped generating, or an empty string
	 */
	record ChatEvent(String text, String finishReason) {
	}

}
