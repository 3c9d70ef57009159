package org.marjoramgw.direct.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.quarantine.PromptGuard;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.policy.quarantine.Verdict;

/**
 * Prompt of one request, as the guard of the backend servers sees it. Not thread-safe;
 * guarded by the lock of its request.
 *
 * @author The marjoramgw authors
 */
final class GuardedPrompt {

	/** Detail of a request that is not sent again because of its prompt. */
	static final String SUSPECTED = "not sent again, its prompt may have crashed the server: ";

	/** Detail of a request that was ended at its server because of its prompt. */
	static final String QUARANTINED = "a part of the prompt was quarantined before its answer began";

	private final PromptGuard guard;

	private final CallerRequest caller;

	private PromptGuard.Watch watch = () -> {
	};

	private boolean answered;

	GuardedPrompt(PromptGuard guard, CallerRequest caller) {
		this.guard = guard;
		this.caller = caller;
	}

	/**
	 * Checks the prompt on its arrival, and from then on until its answer begins.
	 * @param onQuarantined called if one of its parts is quarantined meanwhile
	 * @throws RequestRejectedException if one of its parts is quarantined
	 */
	void check(Runnable onQuarantined) throws RequestRejectedException {
		if (!this.caller.sharedPartIds().isEmpty()) {
			this.watch = this.guard.watch(this.caller, onQuarantined);
		}
		rejectIfPresent(this.guard.check(this.caller));
	}

	/**
	 * Ends the check, since the request has ended.
	 */
	void end() {
		this.watch.close();
	}

	/**
	 * Checks the prompt immediately before it is sent.
	 * @throws RequestRejectedException if one of its parts is quarantined
	 */
	void checkBeforeSend() throws RequestRejectedException {
		rejectIfPresent(this.guard.checkBeforeSend(this.caller));
	}

	/**
	 * Records the end of a response. It counts as an answer only if it can't be the end
	 * of its server; otherwise the server is checked.
	 * @param attempt the attempt
	 * @param success whether its status is that of an answer
	 * @param endIsCertain whether the response had an end of its own and didn't merely
	 * end with its connection
	 */
	void onComplete(Attempt attempt, boolean success, boolean endIsCertain) {
		if (success && endIsCertain) {
			onAnswer();
		}
		else if (success) {
			mayGoElsewhere(attempt);
		}
	}

	/**
	 * Records that an answer has begun and gone on.
	 */
	void onAnswer() {
		if (!this.answered) {
			this.answered = true;
			this.watch.close();
			this.guard.onAnswer(this.caller);
		}
	}

	/**
	 * Reports to the guard that the connection ended, which then checks the server unless
	 * the answer had begun, and asks whether the request may be sent to another server.
	 * @param attempt the attempt that failed
	 * @return whether it may, as far as its prompt is concerned
	 */
	CompletionStage<Boolean> mayGoElsewhere(Attempt attempt) {
		if (this.answered || !attempt.mayHaveRun()) {
			return CompletableFuture.completedFuture(true);
		}
		return this.guard.onUnanswered(attempt.server(), this.caller, attempt.isAnswering(), attempt.sentMillis());
	}

	/**
	 * Returns the log fields of the prompt for an attempt that broke off.
	 * @param attempt the attempt
	 * @return whether its answer had begun, the model and the shared parts; empty if
	 * there is no prompt
	 */
	String describe(Attempt attempt) {
		return this.caller.hasPrompt() ? " begun=" + attempt.hasBegun() + " model=" + this.caller.model() + " parts="
				+ String.join(",", this.caller.sharedPartIds()) : "";
	}

	/**
	 * Checks the prompt without changing anything.
	 * @throws RequestRejectedException if one of its parts is quarantined
	 */
	void peek() throws RequestRejectedException {
		rejectIfPresent(this.guard.peek(this.caller));
	}

	private static void rejectIfPresent(Optional<Verdict> verdict) throws RequestRejectedException {
		if (verdict.isPresent()) {
			throw new RequestRejectedException(ResultCode.PROMPT_PART_QUARANTINED,
					"model=" + verdict.get().part().model() + " part=" + verdict.get().part().part() + " servers="
							+ String.join(",", verdict.get().servers()));
		}
	}

}
