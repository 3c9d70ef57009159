package org.marjoramgw.rig;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.marjoramgw.HostPort;

/**
 * Chat completion request to an entry.
 *
 * @param target address of the entry
 * @param key bearer token of the client account, or an empty string
 * @param requestClass class of the request, or an empty string to have it set by the
 * rules
 * @param model name of the model
 * @param context text of the system message, or an empty string for none
 * @param prompt text of the user message
 * @param streamed whether the response is streamed
 * @param maxTokens limit of the response, in tokens; 0 for none
 * @param requestId request id of a request sent directly to an engine, or an empty string
 * @author The marjoramgw authors
 */
public record ChatCall(HostPort target, String key, String requestClass, String model, String context, String prompt,
		boolean streamed, int maxTokens, String requestId) {

	/**
	 * Creates a request to an entry without a system message.
	 * @param target address of the entry
	 * @param key bearer token of the client account
	 * @param requestClass class of the request, or an empty string
	 * @param model name of the model
	 * @param prompt text of the user message
	 * @param streamed whether the response is streamed
	 */
	public ChatCall(HostPort target, String key, String requestClass, String model, String prompt, boolean streamed) {
		this(target, key, requestClass, model, "", prompt, streamed, 0, "");
	}

	/**
	 * Returns the request body.
	 * @return the fields of the JSON object
	 */
	Map<String, Object> body() {
		Map<String, Object> body = new TreeMap<>();
		body.put("model", this.model);
		body.put("messages", messages());
		body.put("stream", this.streamed);
		if (this.maxTokens > 0) {
			body.put("max_tokens", this.maxTokens);
		}
		if (!this.requestId.isEmpty()) {
			body.put("request_id", this.requestId);
			body.put("priority", 1);
		}
		return body;
	}

	private List<Map<String, String>> messages() {
		Map<String, String> userMessage = Map.of("role", "user", "content", this.prompt);
		if (this.context.isEmpty()) {
			return List.of(userMessage);
		}
		return List.of(Map.of("role", "system", "content", this.context), userMessage);
	}

}
