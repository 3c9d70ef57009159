package org.marjoramgw.rig;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.marjoramgw.HostPort;

/**
 * Call to the chat path of an entry.
 *
 * @param target address of the entry
 * @param key bearer key of the client account, or an empty text
 * @param requestClass class of the request, or an empty text to leave it to the rules
 * @param model name of the model
 * @param context text of a system message that comes first, or an empty text for none
 * @param prompt text of the user's message
 * @param streamed whether the answer is streamed
 * @param maxTokens bound of the answer, in tokens; 0 sends none
 * @param requestId request id, for a call straight to an engine, or an empty text
 * @author The marjoramgw authors
 */
public record ChatCall(HostPort target, String key, String requestClass, String model, String context, String prompt,
		boolean streamed, int maxTokens, String requestId) {

	/**
	 * Creates a call to an entry without a system message.
	 * @param target address of the entry
	 * @param key bearer key of the client account
	 * @param requestClass class of the request, or an empty text
	 * @param model name of the model
	 * @param prompt text of the user's message
	 * @param streamed whether the answer is streamed
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
		Map<String, String> question = Map.of("role", "user", "content", this.prompt);
		if (this.context.isEmpty()) {
			return List.of(question);
		}
		return List.of(Map.of("role", "system", "content", this.context), question);
	}

}
