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
 * Claims of calls that carry an idempotency key and may not be repeated.
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
				digest(request.reserve().service(), request.call()), request.key().requestId());
		request.startClaim(claim);
		this.claimBook.claim(claim)
			.thenAccept((verdict) -> this.commands
				.accept(new SchedulerCommand.ClaimDecided(request.key(), claim, verdict)));
	}

	/**
	 * Decides what follows from a verdict.
	 * @param request the request
	 * @param verdict the verdict
	 * @param nowMillis the present time, in milliseconds
	 * @return what to do
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
	 * Gives a won claim back whose request is over.
	 * @param claimed the verdict that came too late
	 */
	void releaseIfWon(SchedulerCommand.ClaimDecided claimed) {
		if (claimed.verdict() instanceof ClaimDecision.Won) {
			this.claimBook.release(claimed.claim());
		}
	}

	void release(ScheduledRequest request) {
		if (request.claim() != null) {
			this.claimBook.release(request.claim());
		}
	}

	/**
	 * Records that a call may have run without a result, so that a repeat learns that its
	 * outcome stays unknown rather than that it is still in progress.
	 * @param request the request
	 */
	void recordUnknown(ScheduledRequest request) {
		if (request.claim() != null) {
			this.claimBook.recordResult(request.claim(), new RecordedResult(NO_STATUS, "", null));
		}
	}

	void recordResult(ScheduledRequest request, BackendResult end) {
		if (request.claim() != null) {
			this.claimBook.recordResult(request.claim(),
					new RecordedResult(end.httpStatus(), end.contentType(), bodyOf(request)));
		}
	}

	/**
	 * Returns the body of an answer if it can be recorded as text.
	 * @param request the request, whose answer is over
	 * @return the text, or {@code null} if a part is gone already or isn't UTF-8
	 */
	private static String bodyOf(ScheduledRequest request) {
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
		boolean same = Arrays.equals(text.getBytes(StandardCharsets.UTF_8), bytes.toByteArray());
		return same ? text : null;
	}

	private static String digest(String service, BackendCall call) {
		Hasher hasher = Hashing.sha256().newHasher();
		for (String part : List.of(service, call.method(), call.path())) {
			hasher.putString(part, StandardCharsets.UTF_8).putByte((byte) 0);
		}
		return hasher.putBytes(call.body()).hash().toString();
	}

	/**
	 * What follows from a verdict.
	 *
	 * @param mayRun whether the call may run
	 * @param repeated recorded result to return, or {@code null}
	 * @param refusal why the call may not run, or {@code null}
	 */
	record Decision(boolean mayRun, RecordedResult repeated, ResultCode refusal) {

		@Override
		public String toString() {
			return "may_run=" + this.mayRun + " repeated=" + (this.repeated != null) + " refusal=" + this.refusal;
		}

	}

}
