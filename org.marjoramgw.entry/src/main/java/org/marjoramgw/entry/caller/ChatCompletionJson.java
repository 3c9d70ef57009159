package org.marjoramgw.entry.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * JSON of chat completions, complete and in chunks.
 *
 * @author The marjoramgw authors
 */
final class ChatCompletionJson {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final String requestId;

	private final String model;

	ChatCompletionJson(String requestId, String model) {
		this.requestId = requestId;
		this.model = model;
	}

	String completion(String text, String finishReason) {
		ObjectNode root = root("chat.completion");
		ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
		choice.putObject("message").put("role", "assistant").put("content", text);
		choice.put("finish_reason", finishReason);
		return root.toString();
	}

	String chunk(String text) {
		ObjectNode root = root("chat.completion.chunk");
		ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
		choice.putObject("delta").put("content", text);
		choice.putNull("finish_reason");
		return root.toString();
	}

	String lastChunk(String finishReason) {
		ObjectNode root = root("chat.completion.chunk");
		ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
		choice.putObject("delta");
		choice.put("finish_reason", finishReason);
		return root.toString();
	}

	private ObjectNode root(String objectType) {
		return MAPPER.createObjectNode().put("id", this.requestId).put("object", objectType).put("model", this.model);
	}

}
