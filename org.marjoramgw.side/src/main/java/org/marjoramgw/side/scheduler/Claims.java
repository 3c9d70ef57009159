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
import org.marjoramgw.side.backend.BackendEnd;
import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;

/**
 * Claims of calls that carry an idempotency key and may not be repeated.
 *
 * @author The marjoramgw authors
 */
final class Claims {

	private static final int NO_STATUS = 0;

	private final ClaimStore book;

	private final Consumer<SchedulerCommand> events;

	Claims(ClaimStore book, Consumer<SchedulerCommand> events) {
		this.book = book;
		this.events = events;
	}

	boolean isNeeded(Ticket ticket) {
		return !ticket.call().repeatable() && !ticket.call().idempotencyKey().isEmpty();
	}

	void claim(Ticket ticket) {
		ClaimKey claim = new ClaimKey(ticket.waiting().account(), ticket.call().idempotencyKey(),
				digest(ticket.reserve().service(), ticket.call()), ticket.key().requestId());
		ticket.claiming(claim);
		this.book.claim(claim)
			.thenAccept((verdict) -> this.events.accept(new SchedulerCommand.Claimed(ticket.key(), claim, verdict)));
	}

	/**
	 * Decides what follows from a verdict.
	 * @param ticket the request
	 * @param verdict the verdict
	 * @param nowMillis the present time, in milliseconds
	 * @return what to do
	 */
	Decision decide(Ticket ticket, ClaimDecision verdict, long nowMillis) {
		if (verdict instanceof ClaimDecision.Repeated repeated) {
			return new Decision(false, repeated.result(), null);
		}
		if (verdict instanceof ClaimDecision.Refused refused) {
			return new Decision(false, null, refused.code());
		}
		if (nowMillis > ticket.finishByMillis()) {
			release(ticket);
			return new Decision(false, null, ResultCode.DEADLINE_UNREACHABLE);
		}
		return new Decision(true, null, null);
	}

	/**
	 * Gives a won claim back whose request is over.
	 * @param claimed the verdict that came too late
	 */
	void abandon(SchedulerCommand.Claimed claimed) {
		if (claimed.verdict() instanceof ClaimDecision.Won) {
			this.book.release(claimed.claim());
		}
	}

	void release(Ticket ticket) {
		if (ticket.claim() != null) {
			this.book.release(ticket.claim());
		}
	}

	/**
	 * Records that a call may have run without a result, so that a repeat learns that its
	 * outcome stays unknown rather than that it is still in progress.
	 * @param ticket the request
	 */
	void recordUnknown(Ticket ticket) {
		if (ticket.claim() != null) {
			this.book.recordResult(ticket.claim(), new RecordedResult(NO_STATUS, "", null));
		}
	}

	void recordResult(Ticket ticket, BackendEnd end) {
		if (ticket.claim() != null) {
			this.book.recordResult(ticket.claim(),
					new RecordedResult(end.httpStatus(), end.contentType(), bodyOf(ticket)));
		}
	}

	/**
	 * Returns the body of an answer if it can be recorded as text.
	 * @param ticket the request, whose answer is over
	 * @return the text, or {@code null} if a part is gone already or isn't UTF-8
	 */
	private static String bodyOf(Ticket ticket) {
		if (!ticket.answer().reachesBackTo(0)) {
			return null;
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (Message part : ticket.answer().from(0)) {
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
