package org.marjoramgw.entry.dispatch;

import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.config.Service;
import org.marjoramgw.wire.BackendCall;

/**
 * Authenticated and classified request with the service that handles it.
 *
 * @param requestId id of the request
 * @param service service that handles the request
 * @param model name of the model, or an empty text for a plain service
 * @param requestClass class of the request
 * @param account the client account
 * @param call call to the backend server
 * @param affinityKey key by which side processes are ranked, the same for requests with a
 * common prompt prefix or claim partition, or an empty text
 * @param promptTokens estimate of the prompt's length, in tokens
 * @author The marjoramgw authors
 */
public record RoutedRequest(String requestId, Service service, String model, RequestClass requestClass,
		ClientAccount account, BackendCall call, String affinityKey, int promptTokens) {

	/**
	 * Tells whether a model generates the response.
	 * @return whether the response can be continued elsewhere from the text received so
	 * far
	 */
	public boolean isGeneration() {
		return !this.model.isEmpty();
	}

	/**
	 * Tells whether the caller sent an idempotency key.
	 * @return whether every side process recognises a repeat of the call
	 */
	public boolean hasIdempotencyKey() {
		return !this.call.idempotencyKey().isEmpty();
	}

	/**
	 * Returns a call that continues the generation after a text.
	 * @param text text that was received so far, or an empty text to start from the
	 * prompt
	 * @return the call
	 */
	public BackendCall continuationCall(String text) {
		return new BackendCall(this.call.method(), this.call.path(), this.call.contentType(), this.call.body(), text,
				this.call.repeatable(), this.call.idempotencyKey());
	}

}
