package org.marjoramgw.direct.duty;

import java.util.concurrent.CompletionStage;

import org.marjoramgw.policy.usage.WindowCounts;

/**
 * Receiver of usage reports.
 *
 * @author The marjoramgw authors
 */
public interface UsageReports {

	/**
	 * Sends the report on a window.
	 * @param report the report
	 * @param holder id of the process that holds the duty
	 * @param token its fencing token
	 * @param timeoutMillis timeout of the call, in milliseconds
	 * @return the answer; after a failure the report may have been accepted all the same,
	 * or may be later
	 */
	CompletionStage<Answer> send(WindowCounts report, String holder, long token, long timeoutMillis);

	/**
	 * Answer to a report.
	 */
	enum Answer {

		/** The report was accepted. */
		ACCEPTED,

		/** The receiver has seen a higher token. */
		TOKEN_REFUSED,

		/** The receiver can't take the report at present. */
		TRY_LATER,

		/** The receiver doesn't take this report. */
		REJECTED

	}

}
