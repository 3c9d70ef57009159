package org.marjoramgw.entry.dispatch;

import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.config.Service;
import org.marjoramgw.wire.BackendCall;

/**
 * Authenticated and classified request.
 *
 * @param requestId id of the request
 * @param service service that it goes to
 * @param model name of the model, or an empty text for a plain service
 * @param requestClass its class
 * @param account the client account
 * @param call what to run
 * @param affinityKey text that requests with a common prompt prefix share, or an empty
 * text
 * @param promptTokens estimate of the prompt's length, in tokens
 * @author The marjoramgw authors
 */
public record RoutedRequest(String requestId, Service service, String model, RequestClass requestClass,
		ClientAccount account, BackendCall call, String affinityKey, int promptTokens) {

	/**
	 * Tells whether a model generates the answer.
	 * @return whether the answer can go on elsewhere from the text so far
	 */
	public boolean isGeneration() {
		return !this.model.isEmpty();
	}

	/**
	 * Tells whether the caller sent an idempotency key.
	 * @return whether a repeat is recognised wherever it arrives
	 */
	public boolean hasIdempotencyKey() {
		return !this.call.idempotencyKey().isEmpty();
	}

	/**
	 * Returns the call that goes on after a text.
	 * @param text text that the caller already has
	 * @return the call
	 */
	public BackendCall continuationCall(String text) {
		return new BackendCall(this.call.method(), this.call.path(), this.call.contentType(), this.call.body(), text,
				this.call.repeatable(), this.call.idempotencyKey());
	}

}
