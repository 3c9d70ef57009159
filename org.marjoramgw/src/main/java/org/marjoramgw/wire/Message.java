package org.marjoramgw.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;

/**
 * Message between the system's own processes.
 * <p>
 * Each is encoded as a MessagePack array of its fields in the order of declaration, after
 * one byte that names its type. A request is named by its id and, where several attempts
 * of it may be under way, by the attempt number.
 *
 * @author The marjoramgw authors
 */
public sealed interface Message {

	/**
	 * First message in each direction of a connection.
	 *
	 * @param version protocol version
	 * @param token deployment token
	 * @param peer who is speaking
	 * @param status what it does now
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Hello(int version, String token, PeerIdentity peer, PeerStatus status) implements Message {
	}

	/**
	 * Periodic message that shows that its sender is alive, also sent at once when the
	 * status changes.
	 *
	 * @param status the sender's status
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Heartbeat(PeerStatus status) implements Message {
	}

	/**
	 * Notice before the sender closes the connection.
	 *
	 * @param code number of the result that says why
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
	 * @param model name of the model, or an empty text for a plain service
	 * @param requestClass name of the request class
	 * @param account name of the client account
	 * @param startWithinMillis time left until the latest useful start, in milliseconds
	 * @param finishWithinMillis time left until the deadline, in milliseconds
	 * @param promptTokens estimate of the prompt's length, in tokens
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
	 * @param holdMillis time that the slot is held, in milliseconds
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Grant(String requestId, int attempt, long holdMillis) implements Message {
	}

	/**
	 * Entry to side: the reservation or grant isn't wanted any more.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Release(String requestId, int attempt) implements Message {
	}

	/**
	 * Entry to side: the body for a granted slot.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param call what to run
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Run(String requestId, int attempt, BackendCall call) implements Message {
	}

	/**
	 * Side to entry: the reservation or run ended without an answer.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param code number of the result, which says whether the request ran
	 * @param retryAfterMillis when to come back, in milliseconds, or 0
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Refusal(String requestId, int attempt, int code, long retryAfterMillis) implements Message {
	}

	/**
	 * Side to entry: one numbered part of an answer.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param sequence number of the part, from 0
	 * @param tokens tokens in this part
	 * @param payload for a model the UTF-8 text of the tokens, for a plain service bytes
	 * of the body
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Chunk(String requestId, int attempt, long sequence, int tokens, byte[] payload) implements Message {
	}

	/**
	 * Side to entry: the answer is over.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param chunkCount how many chunks the answer has
	 * @param code number of the result
	 * @param httpStatus status of the backend server's answer
	 * @param contentType content type of the backend server's answer
	 * @param finishReason the engine's reason, or an empty text for a plain service
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record End(String requestId, int attempt, long chunkCount, int code, int httpStatus, String contentType,
			String finishReason) implements Message {
	}

	/**
	 * Entry to side: chunks before the number were received and need not be kept.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param nextSequence number of the next chunk that is wanted; one past the last
	 * chunk after the end was received
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Ack(String requestId, int attempt, long nextSequence) implements Message {
	}

	/**
	 * Entry to side: send the rest of an answer over this connection.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 * @param nextSequence number of the first chunk that is wanted
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Resume(String requestId, int attempt, long nextSequence) implements Message {
	}

	/**
	 * Entry to side: stop the request; answered by a refusal that says whether it ran.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record Cancel(String requestId, int attempt) implements Message {
	}

	/**
	 * Either way: asks for the configuration in force at the receiver.
	 *
	 * @param haveRevision revision that the sender has, 0 if none
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record ConfigFetch(long haveRevision) implements Message {
	}

	/**
	 * Either way: an accepted configuration.
	 *
	 * @param revision its revision
	 * @param offset offset in the log that it reflects
	 * @param text the operators' text
	 */
	@JsonFormat(shape = Shape.ARRAY)
	record ConfigText(long revision, long offset, String text) implements Message {
	}

}
