package org.marjoramgw.entry.dispatch;

import java.util.EnumSet;
import java.util.OptionalLong;
import java.util.Set;

import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;

/**
 * Retry state of one request: counts its retries and continuations and decides what
 * follows a refusal or a failed run.
 *
 * @author The marjoramgw authors
 */
final class RetryState {

	private static final int MAX_CONTINUATIONS = 4;

	private static final int MAX_RACE_RETRIES = 8;

	/**
	 * Unknown outcomes after which a repeat with the same idempotency key may return the
	 * recorded result.
	 */
	private static final Set<ResultCode> RECORDED_RESULT_POSSIBLE = EnumSet.of(ResultCode.SIDE_LOST,
			ResultCode.SIDE_RESTARTED, ResultCode.ANSWER_NOT_KEPT, ResultCode.KEY_IN_PROGRESS);

	/**
	 * Refusals caused by a race and not by overload; retries after them don't spend the
	 * retry budget.
	 */
	private static final Set<ResultCode> RACE_REFUSALS = EnumSet.of(ResultCode.GRANT_EXPIRED,
			ResultCode.UNKNOWN_RESERVATION, ResultCode.SIDE_LEAVING, ResultCode.NO_BACKEND,
			ResultCode.BACKEND_UNREACHABLE);

	/** Results that any other side process would return too. */
	private static final Set<ResultCode> FINAL_RESULTS = EnumSet.of(ResultCode.KEY_REUSED, ResultCode.BODY_TOO_LARGE);

	private final RoutedRequest request;

	private final DispatchContext context;

	private final long startDeadlineMillis;

	private int retries;

	private int continuations;

	RetryState(RoutedRequest request, DispatchContext context, long startDeadlineMillis) {
		this.request = request;
		this.context = context;
		this.startDeadlineMillis = startDeadlineMillis;
	}

	/**
	 * Tells whether an earlier run of this request may have run, at least in part.
	 * @return whether the outcome can no longer be reported as "not run"
	 */
	boolean mayHaveRun() {
		return this.continuations > 0;
	}

	int continuations() {
		return this.continuations;
	}

	/**
	 * Decides what follows a run that ended without a complete response.
	 * @param code result code of the run
	 * @return the next step
	 */
	NextStep nextStep(ResultCode code) {
		if (FINAL_RESULTS.contains(code)) {
			return NextStep.END;
		}
		if (code.outcome() == ExecutionOutcome.NOT_RUN) {
			return NextStep.RETRY;
		}
		if (this.continuations >= MAX_CONTINUATIONS || code == ResultCode.ANSWER_TOO_LARGE) {
			return NextStep.FAIL;
		}
		if (this.request.isGeneration()) {
			return NextStep.CONTINUE;
		}
		boolean mayRepeat = this.request.call().repeatable()
				|| (this.request.hasIdempotencyKey() && RECORDED_RESULT_POSSIBLE.contains(code));
		return mayRepeat ? NextStep.REPEAT : NextStep.FAIL;
	}

	/**
	 * Counts and records a run that is continued or repeated.
	 * @param retry result code of the continuation or repetition
	 * @param cause result code of the run that ended
	 */
	void onContinuation(ResultCode retry, ResultCode cause) {
		this.continuations++;
		this.context.counters().count(cause);
		this.context.counters().count(retry);
		record(retry, "after " + cause.number());
	}

	/**
	 * Counts and records a retry of a request that did not run, unless its start deadline
	 * would pass before the retry.
	 * @param code result code that says why it did not run
	 * @return the delay before the retry, in milliseconds, or empty if the request may
	 * not be retried
	 */
	OptionalLong tryRetry(ResultCode code) {
		this.context.counters().count(code);
		long delayMillis = this.context.backoff().delayMillis(this.retries + 1);
		boolean pastDeadline = !mayHaveRun()
				&& this.context.clock().nowMillis() + delayMillis >= this.startDeadlineMillis;
		if (pastDeadline || !tryTakeRetry(code)) {
			this.context.counters().count(ResultCode.RETRY_DENIED);
			return OptionalLong.empty();
		}
		this.context.counters().count(ResultCode.RETRY_NOT_RUN);
		record(ResultCode.RETRY_NOT_RUN, "after " + code.number() + " in " + delayMillis + " ms");
		return OptionalLong.of(delayMillis);
	}

	/**
	 * Counts a retry, and spends the retry budget unless the refusal came from a race.
	 * @param code result code that says why the request did not run
	 * @return whether the request may be retried
	 */
	private boolean tryTakeRetry(ResultCode code) {
		this.retries++;
		if (RACE_REFUSALS.contains(code)) {
			return this.retries <= MAX_RACE_RETRIES;
		}
		return this.context.retryBudget().tryRetry(this.request.requestClass().name());
	}

	private void record(ResultCode retry, String detail) {
		this.context.decisions().add(this.request.requestId(), "retry", retry, detail);
	}

	/**
	 * What follows a run that ended without a complete response.
	 */
	enum NextStep {

		/** Report the result code unchanged. */
		END,

		/**
		 * Report the result code, or an unknown outcome if an earlier run may have run.
		 */
		FAIL,

		/** Reserve again, since the request did not run. */
		RETRY,

		/** Continue the generation from the text received so far. */
		CONTINUE,

		/** Run the call again from the start. */
		REPEAT

	}

}
