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

	private final ClaimStore claimBook;

	private final Consumer<SchedulerCommand> commands;

	IdempotencyClaims(ClaimStore claimBook, Consumer<SchedulerCommand> commands) {
		this.claimBook = claimBook;
		this.commands = commands;
	}

	boolean isNeeded(ScheduledRequest request) {
		return !request.call().repeatable() && !request.call().idempotencyKey().isEmpty();
	}

	void claim(ScheduledRequest request) {
		ClaimKey claim = new ClaimKey(request.waiting().account(), request.call().idempotencyKey(),
				requestDigest(request.reserve().service(), request.call()), request.key().requestId());
		request.startClaim(claim);
		this.claimBook.claim(claim)
			.thenAccept((verdict) -> this.commands
				.accept(new SchedulerCommand.ClaimDecided(request.key(), claim, verdict)));
	}

	/**
	 * Decides how to proceed with a request after the verdict on its claim. A claim won
	 * after the deadline of the request is released.
	 * @param request the request
	 * @param verdict the verdict
	 * @param nowMillis the current time, in milliseconds
	 * @return the decision
	 */
	Decision decide(ScheduledRequest request, ClaimDecision verdict, long nowMillis) {
		if (verdict instanceof ClaimDecision.Repeated repeated) {
			return new Decision(false, repeated.result(), null);
		}
		if (verdict instanceof ClaimDecision.Refused refused) {
			return new Decision(false, null, refused.code());
		}
		if (nowMillis > request.deadlineMillis()) {
			release(request);
			return new Decision(false, null, ResultCode.DEADLINE_UNREACHABLE);
		}
		return new Decision(true, null, null);
	}

	/**
	 * Releases a claim that was won after its request had ended.
	 * @param decided the claim and its verdict
	 */
	void releaseIfWon(SchedulerCommand.ClaimDecided decided) {
		if (decided.verdict() instanceof ClaimDecision.Won) {
			this.claimBook.release(decided.claim());
		}
	}

	void release(ScheduledRequest request) {
		if (request.claim() != null) {
			this.claimBook.release(request.claim());
		}
	}

	/**
	 * Records that a call may have run but left no result, so that a repeated call is
	 * told that the outcome is unknown and not that the call is still in progress.
	 * @param request the request
	 */
	void recordUnknown(ScheduledRequest request) {
		if (request.claim() != null) {
			this.claimBook.recordResult(request.claim(), new RecordedResult(NO_STATUS, "", null));
		}
	}

	void recordResult(ScheduledRequest request, BackendResult result) {
		if (request.claim() != null) {
			this.claimBook.recordResult(request.claim(),
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
	 * Decision about a request after the verdict on its claim.
	 *
	 * @param mayRun whether the call may run
	 * @param repeated recorded result to replay, or {@code null}
	 * @param refusal result code if the request is refused, or {@code null}
	 */
	record Decision(boolean mayRun, RecordedResult repeated, ResultCode refusal) {

		@Override
		public String toString() {
			return "may_run=" + this.mayRun + " repeated=" + (this.repeated != null) + " refusal=" + this.refusal;
		}

	}

}
