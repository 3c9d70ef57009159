package org.marjoramgw.standin.engine;

import java.util.List;

/**
 * Body of a chat completion request.
 *
 * @param model name of the model
 * @param messages the conversation, at least one message
 * @param maxTokens limit of the complete response in tokens, or {@code null}
 * @param requestId id of the request, or {@code null}
 * @param priority tier, 1 being the highest, or {@code null} for the lowest
 * @param continueFrom prefix of the response that the client already has, or {@code null}
 * @author The marjoramgw authors
 */
record ChatCall(String model, List<ChatMessage> messages, Integer maxTokens, String requestId, Integer priority,
		String continueFrom) {

	private static final int LAST_TIER = 1_000;

	boolean isValid() {
		return this.model != null && this.messages != null && !this.messages.isEmpty()
				&& this.messages.stream().allMatch((message) -> message.content() != null);
	}

	String prompt() {
		return this.messages.get(this.messages.size() - 1).content();
	}

	String conversation() {
		StringBuilder text = new StringBuilder();
		this.messages.forEach((message) -> text.append(message.content()).append('\n'));
		return text.toString();
	}

	int tier() {
		return (this.priority != null) ? this.priority : LAST_TIER;
	}

	String continueFromOrEmpty() {
		return (this.continueFrom != null) ? this.continueFrom : "";
	}

	/**
	 * Message of the conversation.
	 *
	 * @param role role of the author
	 * @param content text of the message
	 */
	record ChatMessage(String role, String content) {
	}

}
