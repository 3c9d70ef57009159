package org.marjoramgw.direct.caller;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.marjoramgw.direct.model.PromptPart;

/**
 * What the head of a caller's request says.
 *
 * @param id id of the request
 * @param host host that it names, without port
 * @param path path of its target, undecoded
 * @param deadlineMillis how long the caller waits, in milliseconds, or empty
 * @param key key of the client account, or empty
 * @param promptParts parts of the prompt in order, the last one its own
 * @param promptTokenCount tokens of the prompt, 0 if it has none
 * @author The marjoramgw authors
 */
public record CallerRequest(String id, String host, String path, OptionalLong deadlineMillis, Optional<String> key,
		List<PromptPart> promptParts, long promptTokenCount) {

	/**
	 * Returns the key of the longest prompt that other requests may share.
	 * @return id of the last shared part, or an empty text if nothing is shared
	 */
	public String sharedPrefixKey() {
		int shared = this.promptParts.size() - 1;
		return (shared > 0) ? this.promptParts.get(shared - 1).id() : "";
	}

	/**
	 * Returns how long the caller may be kept waiting in all.
	 * @param timeoutMillis longest time that the route allows, in milliseconds
	 * @return the lesser of that time and the caller's own, in milliseconds
	 */
	public long effectiveTimeoutMillis(long timeoutMillis) {
		return Math.min(timeoutMillis, this.deadlineMillis.orElse(timeoutMillis));
	}

	/**
	 * Tells whether a model has to read a prompt for this request.
	 * @return whether it names one
	 */
	public boolean hasPrompt() {
		return this.promptTokenCount > 0 || this.promptParts.stream().anyMatch((part) -> part.tokenCount() > 0);
	}

}
