package org.marjoramgw.side.engine;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.marjoramgw.side.backend.BackendRequest;

/**
 * JSON of the engine's chat protocol.
 *
 * @author The marjoramgw authors
 */
final class ChatJsonCodec {

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Adds the engine's fields to the caller's body.
	 * @param request the call
	 * @return the body for the engine
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
	 * Parses one event.
	 * @param data data of the event
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
	 * One event of a chat answer.
	 *
	 * @param text text of its token, or an empty text
	 * @param finishReason reason of the end, or an empty text
	 */
	record ChatEvent(String text, String finishReason) {
	}

}
