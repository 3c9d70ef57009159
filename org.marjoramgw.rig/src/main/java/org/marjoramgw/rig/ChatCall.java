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
 * @param prompt text of the only message
 * @param streamed whether the answer is streamed
 * @param maxTokens bound of the answer, in tokens; 0 sends none
 * @author The marjoramgw authors
 */
public record ChatCall(HostPort target, String key, String requestClass, String model, String prompt, boolean streamed,
		int maxTokens) {

	/**
	 * Returns the request body.
	 * @return the fields of the JSON object
	 */
	Map<String, Object> body() {
		Map<String, Object> body = new TreeMap<>();
		body.put("model", this.model);
		body.put("messages", List.of(Map.of("role", "user", "content", this.prompt)));
		body.put("stream", this.streamed);
		if (this.maxTokens > 0) {
			body.put("max_tokens", this.maxTokens);
		}
		return body;
	}

}
