package org.marjoramgw.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;

/**
 * Message between the system's own processes.
 * <p>
 * A message is encoded as one type byte, followed by a MessagePack array of its fields in
 * the order of declaration. It refers to a request by its id and, where several attempts
 * may be in progress, by the attempt number.
 *
 * @author The marjoramgw authors
 */
public sealed interface Message {

	/**
	 * First message in each direction of a connection.
	 *
	 * @param version protocol version of the sender
	 * @param token token of the deployment
	 * @param peer identity of the sender
	 * @param status current status of the sender
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Hello(int version, String token, PeerIdentity peer, PeerStatus status) implements Message {
	}

	/**
	 * Periodic liveness message, also sent at once when the sender's status changes.
	 *
	 * @param status current status of the sender
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Heartbeat(PeerStatus status) implements Message {
	}

	/**
	 * Last message before the sender closes the connection.
	 *
	 * @param code number of the result code that gives the reason
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Goodbye(int code) implements Message {
	}

	/**
	 * Entry to side: request for a slot, without the body.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number, from 1
	 * @param service name of the service
	 * @param model name of the model, or an empty string for a plain service
	 * @param requestClass name of the request class
	 * @param account name of the client account
	 * @param startWithinMillis time left until the latest useful start, in milliseconds
	 * @param finishWithinMillis time left until the deadline, in milliseconds
	 * @param promptTokens estimated length of the prompt, in tokens
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Reserve(String requestId, int attempt, String service, String model, String requestClass, String account,
			long startWithinMillis, long finishWithinMillis, int promptTokens) implements Message {
	}

	/**
	 * Side to entry: a slot is held for the reservation until the grant timeout.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param holdMillis how long the slot is held, in milliseconds
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Grant(String requestId, int attempt, long holdMillis) implements Message {
	}

	/**
	 * Entry to side: the reservation or grant is no longer needed.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Release(String requestId, int attempt) implements Message {
	}

	/**
	 * Entry to side: the call to run in a granted slot.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param call the call to the backend server
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Run(String requestId, int attempt, BackendCall call) implements Message {
	}

	/**
	 * Side to entry: the reservation or run ended without a response.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param code number of the result code, which implies whether the request ran
	 * @param retryAfterMillis delay after which to retry, in milliseconds, or 0
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Refusal(String requestId, int attempt, int code, long retryAfterMillis) implements Message {
	}

	/**
	 * Side to entry: one numbered part of a response.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param sequence sequence number, from 0
	 * @param tokens number of tokens in this chunk
	 * @param payload for a model the UTF-8 text of the tokens, for a plain service bytes
	 * of the body
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Chunk(String requestId, int attempt, long sequence, int tokens, byte[] payload) implements Message {
	}

	/**
	 * Side to entry: the response is complete.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param chunkCount number of chunks of the response
	 * @param code number of the result code
	 * @param httpStatus HTTP status of the backend server's response
	 * @param contentType content type of the backend server's response
	 * @param finishReason finish reason from the engine, or an empty string for a plain
	 * service
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record End(String requestId, int attempt, long chunkCount, int code, int httpStatus, String contentType,
			String finishReason) implements Message {
	}

	/**
	 * Entry to side: acknowledges all chunks before the given sequence number, which need
	 * not be kept any longer.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param nextSequence sequence number of the next expected chunk; one past the last
	 * chunk once the end was received
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Ack(String requestId, int attempt, long nextSequence) implements Message {
	}

	/**
	 * Entry to side: requests the rest of a response over this connection.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param nextSequence sequence number of the first chunk to send
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Resume(String requestId, int attempt, long nextSequence) implements Message {
	}

	/**
	 * Entry to side: cancels the request; the side process responds with a
	 * {@link Refusal} whose code implies whether the request ran.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Cancel(String requestId, int attempt) implements Message {
	}

	/**
	 * Both directions: requests the configuration that is in force at the receiver.
	 *
	 * @param haveRevision revision that the sender already has, 0 if none
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record ConfigFetch(long haveRevision) implements Message {
	}

	/**
	 * Both directions: an accepted configuration.
	 *
	 * @param revision revision of the configuration
	 * @param offset offset of the log record after the last one that it reflects
	 * @param text configuration text as the operators published it
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record ConfigText(long revision, long offset, String text) implements Message {
	}

}
