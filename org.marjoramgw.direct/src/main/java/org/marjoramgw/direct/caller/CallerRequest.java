package org.marjoramgw.direct.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.marjoramgw.direct.model.PromptPart;
import org.marjoramgw.policy.fleet.FleetKeys;
import org.marjoramgw.policy.fleet.SharedPart;

/**
 * Decoded head of a caller's request.
 *
 * @param id id of the request
 * @param host host name, without port
 * @param path path of the request target, not percent-decoded
 * @param deadlineMillis time that the caller waits for the response, in milliseconds, or
 * empty
 * @param key key of the client account, or empty
 * @param model name of the model, or an empty string
 * @param promptParts parts of the prompt in order; the last one belongs to this request
 * alone
 * @param promptTokenCount number of prompt tokens, 0 if there is no prompt
 * @param maxOutputTokenCount greatest number of tokens of the answer, 0 if it isn't known
 * @param resumption what the caller says of a stream that it has a part of, or empty if
 * it doesn't take one up
 * @author The marjoramgw authors
 */
public record CallerRequest(String id, String host, String path, OptionalLong deadlineMillis, Optional<String> key,
		String model, List<PromptPart> promptParts, long promptTokenCount, long maxOutputTokenCount,
		Optional<Resumption> resumption) {

	/**
	 * Bound on the tokens that a caller may claim, so that sums of them stay in range.
	 */
	private static final long MAX_PROMPT_TOKENS = 10_000_000;

	/**
	 * Returns this request with a key of a client account.
	 * @param accountKey the key
	 * @return the request
	 */
	public CallerRequest withKey(String accountKey) {
		return new CallerRequest(this.id, this.host, this.path, this.deadlineMillis, Optional.of(accountKey),
				this.model, this.promptParts, this.promptTokenCount, this.maxOutputTokenCount, this.resumption);
	}

	/**
	 * Returns the key of the longest prompt prefix that other requests may have in
	 * common.
	 * @return id of the last shared part, or an empty string if nothing is shared
	 */
	public String sharedPrefixKey() {
		List<String> shared = sharedPartIds();
		return shared.isEmpty() ? "" : shared.get(shared.size() - 1);
	}

	/**
	 * Returns the parts of the prompt that other requests may have in common.
	 * @return ids of all parts but the last one
	 */
	public List<String> sharedPartIds() {
		int shared = Math.max(0, this.promptParts.size() - 1);
		return this.promptParts.subList(0, shared).stream().map(PromptPart::id).toList();
	}

	/**
	 * Returns the parts of the prompt that other requests may have in common, with the
	 * keys under which processes report them to each other.
	 * @return all parts but the last one
	 */
	public List<SharedPart> sharedParts() {
		List<SharedPart> shared = new ArrayList<>();
		int previousKey = 0;
		for (PromptPart part : this.promptParts.subList(0, Math.max(0, this.promptParts.size() - 1))) {
			int partKey = FleetKeys.partKey(previousKey, part.id());
			previousKey = partKey;
			shared.add(new SharedPart(partKey, bounded(part.tokenCount())));
		}
		return shared;
	}

	/**
	 * Returns the size of the whole prompt.
	 * @return number of tokens, 0 if there is no prompt
	 */
	public int allPromptTokens() {
		long partTokens = this.promptParts.stream().mapToLong((part) -> bounded(part.tokenCount())).sum();
		return bounded(Math.max(this.promptTokenCount, partTokens));
	}

	/**
	 * Returns the identity of the prompt, which is the same if the caller repeats the
	 * request.
	 * @return id of the last part, or the id of the request if the prompt has no parts
	 */
	public String promptId() {
		return this.promptParts.isEmpty() ? this.id : this.promptParts.get(this.promptParts.size() - 1).id();
	}

	/**
	 * Tells whether the request has a prompt that a model must prefill.
	 * @return whether it declares prompt tokens
	 */
	public boolean hasPrompt() {
		return this.promptTokenCount > 0 || this.promptParts.stream().anyMatch((part) -> part.tokenCount() > 0);
	}

	private static int bounded(long tokenCount) {
		return (int) Math.max(0, Math.min(MAX_PROMPT_TOKENS, tokenCount));
	}

}
