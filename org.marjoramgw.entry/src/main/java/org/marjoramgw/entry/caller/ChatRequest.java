package org.marjoramgw.entry.caller;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.RequestRejectedException;

/**
 * Fields of a chat request that routing needs.
 *
 * @param model name of the model
 * @param streamed whether the caller wants server-sent events
 * @param promptPrefix start of the prompt; requests that share it prefer the same side
 * processes
 * @param promptTokens estimate of the prompt's length, in tokens
 * @author The marjoramgw authors
 */
record ChatRequest(String model, boolean streamed, String promptPrefix, int promptTokens) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int PROMPT_PREFIX_CHARACTERS = 128;

	private static final int CHARACTERS_PER_TOKEN = 4;

	static ChatRequest parse(byte[] body) throws RequestRejectedException {
		JsonNode root = readObject(body);
		JsonNode model = root.get("model");
		JsonNode messages = root.get("messages");
		if (model == null || !model.isTextual()) {
			throw malformed("model must be a text");
		}
		if (messages == null || !messages.isArray() || messages.isEmpty()) {
			throw malformed("messages must be a list with at least one message");
		}
		JsonNode streamed = root.get("stream");
		if (streamed != null && !streamed.isBoolean()) {
			throw malformed("stream must be true or false");
		}
		String prompt = prompt(messages);
		String prefix = prompt.substring(0, Math.min(PROMPT_PREFIX_CHARACTERS, prompt.length()));
		boolean wantsStream = streamed != null && streamed.asBoolean();
		return new ChatRequest(model.asText(), wantsStream, prefix, 1 + prompt.length() / CHARACTERS_PER_TOKEN);
	}

	private static JsonNode readObject(byte[] body) throws RequestRejectedException {
		try {
			JsonNode root = MAPPER.readTree(body);
			if (root == null || !root.isObject()) {
				throw malformed("body must be a JSON object");
			}
			return root;
		}
		catch (JsonProcessingException ex) {
			throw malformed("body is not JSON");
		}
		catch (IOException ex) {
			throw malformed("body can't be read");
		}
	}

	private static String prompt(JsonNode messages) throws RequestRejectedException {
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : messages) {
			if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
				throw malformed("each message needs a role and a content, both texts");
			}
			prompt.append(message.get("content").asText()).append('\n');
		}
		return prompt.toString();
	}

	private static RequestRejectedException malformed(String detail) {
		return new RequestRejectedException(ResultCode.MALFORMED_REQUEST, detail);
	}

}
