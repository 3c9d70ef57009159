package org.marjoramgw.entry.dispatch;

import java.util.EnumSet;
import java.util.Set;

import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;

/**
 * Choice of what follows a refusal or a run that ended without a whole answer.
 *
 * @author The marjoramgw authors
 */
final class RetryState {

	private static final int MAX_CONTINUATIONS = 4;

	private static final int MAX_RACE_RETRIES = 8;

	/** Unknown outcomes after which a keyed call may learn its recorded result. */
	private static final Set<ResultCode> ASK_AGAIN = EnumSet.of(ResultCode.SIDE_LOST, ResultCode.SIDE_RESTARTED,
			ResultCode.ANSWER_NOT_KEPT, ResultCode.KEY_IN_PROGRESS);

	/**
	 * Refusals that tell of a race and not of overload; they don't spend the retry
	 * budget.
	 */
	private static final Set<ResultCode> RACES = EnumSet.of(ResultCode.GRANT_EXPIRED, ResultCode.UNKNOWN_RESERVATION,
			ResultCode.SIDE_LEAVING, ResultCode.NO_BACKEND, ResultCode.BACKEND_UNREACHABLE);

	/** Results that every side process would repeat. */
	private static final Set<ResultCode> FINAL = EnumSet.of(ResultCode.KEY_REUSED, ResultCode.BODY_TOO_LARGE);

	private final RoutedRequest request;

	private final DispatchContext context;

	private int retries;

	private int continuations;

	RetryState(RoutedRequest request, DispatchContext context) {
		this.request = request;
		this.context = context;
	}

	/**
	 * Tells whether an earlier run of this request may have run in part.
	 * @return whether "not run" can no longer be said
	 */
	boolean mayHaveRun() {
		return this.continuations > 0;
	}

	int retries() {
		return this.retries;
	}

	int continuations() {
		return this.continuations;
	}

	/**
	 * Decides what follows a run that ended without a whole answer.
	 * @param code what happened
	 * @return the next step
	 */
	NextStep afterRun(ResultCode code) {
		if (FINAL.contains(code)) {
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
		boolean safe = this.request.call().repeatable()
				|| (this.request.hasIdempotencyKey() && ASK_AGAIN.contains(code));
		return safe ? NextStep.REPEAT : NextStep.FAIL;
	}

	/**
	 * Counts a run that goes on elsewhere.
	 */
	void onContinuation() {
		this.continuations++;
	}

	/**
	 * Takes leave to retry a request that did not run.
	 * @param code why it did not run
	 * @return whether it may be retried
	 */
	boolean tryRetry(ResultCode code) {
		this.retries++;
		if (RACES.contains(code)) {
			return this.retries <= MAX_RACE_RETRIES;
		}
		return this.context.retryBudget().tryRetry(this.request.requestClass().name());
	}

	/**
	 * What follows a run that ended without a whole answer.
	 */
	enum NextStep {

		/** End with the result as it is. */
		END,

		/** End with the result, or as unknown where an earlier run may have run. */
		FAIL,

		/** Reserve again, since nothing ran. */
		RETRY,

		/** Go on from the text so far. */
		CONTINUE,

		/** Run again from the start. */
		REPEAT

	}

}
