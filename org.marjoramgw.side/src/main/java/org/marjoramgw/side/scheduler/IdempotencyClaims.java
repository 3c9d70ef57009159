package org.marjoramgw.side.scheduler;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.claim.ClaimStore;
import org.marjoramgw.claim.RecordedResult;
import org.marjoramgw.side.backend.BackendResult;
import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;

/**
 * Idempotency claims of calls that carry an idempotency key and must not be repeated.
 *
 * @author The marjoramgw authors
 */
final class IdempotencyClaims {

	private static final int NO_STATUS = 0;

	private final ClaimStore claimStore;

	private final Consumer<SchedulerCommand> commands;

	IdempotencyClaims(ClaimStore claimStore, Consumer<SchedulerCommand> commands) {
		this.claimStore = claimStore;
		this.commands = commands;
	}

	boolean isNeeded(ScheduledRequest request) {
		return !request.call().repeatable() && !request.call().idempotencyKey().isEmpty();
	}

	void claim(ScheduledRequest request) {
		ClaimKey claim = new ClaimKey(request.waiting().account(), request.call().idempotencyKey(),
				requestDigest(request.reserve().service(), request.call()), request.key().requestId());
		request.startClaim(claim);
		this.claimStore.claim(claim)
			.thenAccept((decision) -> this.commands
				.accept(new SchedulerCommand.ClaimDecided(request.key(), claim, decision)));
	}

	/**
	 * Returns how to proceed with a request after the decision on its claim. A claim won
	 * after the deadline of the request is released.
	 * @param request the request
	 * @param decision the decision on the claim
	 * @param nowMillis the current time, in milliseconds
	 * @return how to proceed
	 */
	NextAction nextAction(ScheduledRequest request, ClaimDecision decision, long nowMillis) {
		if (decision instanceof ClaimDecision.Repeated repeated) {
			return new NextAction(false, repeated.result(), null);
		}
		if (decision instanceof ClaimDecision.Refused refused) {
			return new NextAction(false, null, refused.code());
		}
		if (nowMillis > request.deadlineMillis()) {
			release(request);
			return new NextAction(false, null, ResultCode.DEADLINE_UNREACHABLE);
		}
		return new NextAction(true, null, null);
	}

	/**
	 * Releases a claim that was won after its request had ended.
	 * @param decided the claim and the decision on it
	 */
	void releaseIfWon(SchedulerCommand.ClaimDecided decided) {
		if (decided.decision() instanceof ClaimDecision.Won) {
			this.claimStore.release(decided.claim());
		}
	}

	void release(ScheduledRequest request) {
		if (request.claim() != null) {
			this.claimStore.release(request.claim());
		}
	}

	/**
	 * Records that a call may have run but left no result, so that a repeated call is
	 * told that the outcome is unknown and not that the call is still in progress.
	 * @param request the request
	 */
	void recordUnknown(ScheduledRequest request) {
		if (request.claim() != null) {
			this.claimStore.recordResult(request.claim(), new RecordedResult(NO_STATUS, "", null));
		}
	}

	void recordResult(ScheduledRequest request, BackendResult result) {
		if (request.claim() != null) {
			this.claimStore.recordResult(request.claim(),
					new RecordedResult(result.httpStatus(), result.contentType(), recordableBody(request)));
		}
	}

	/**
	 * Returns the body of a response if it can be recorded as text.
	 * @param request the request, whose response is complete
	 * @return the text, or {@code null} if part of the body is no longer buffered or the
	 * body is not valid UTF-8
	 */
	private static String recordableBody(ScheduledRequest request) {
		if (!request.response().isRetainedFrom(0)) {
			return null;
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (Message part : request.response().messagesFrom(0)) {
			if (part instanceof Message.Chunk chunk) {
				bytes.writeBytes(chunk.payload());
			}
		}
		String text = bytes.toString(StandardCharsets.UTF_8);
		boolean validUtf8 = Arrays.equals(text.getBytes(StandardCharsets.UTF_8), bytes.toByteArray());
		return validUtf8 ? text : null;
	}

	private static String requestDigest(String service, BackendCall call) {
		Hasher hasher = Hashing.sha256().newHasher();
		for (String part : List.of(service, call.method(), call.path())) {
			hasher.putString(part, StandardCharsets.UTF_8).putByte((byte) 0);
		}
		return hasher.putBytes(call.body()).hash().toString();
	}

	/**
	 * How to proceed with a request after the decision on its claim.
	 *
	 * @param mayRun whether the call may run
	 * @param repeated recorded result to replay, or {@code null}
	 * @param refusal result code if the request is refused, or {@code null}
	 */
	record NextAction(boolean mayRun, RecordedResult repeated, ResultCode refusal) {

		@Override
		public String toString() {
			return "may_run=" + this.mayRun + " repeated=" + (this.repeated != null) + " refusal=" + this.refusal;
		}

	}

}
