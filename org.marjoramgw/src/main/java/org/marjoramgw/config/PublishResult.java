package org.marjoramgw.config;

/**
 * Verdict on a published text.
 *
 * @author The marjoramgw authors
 */
public sealed interface PublishResult {

	/**
	 * The text is the accepted revision.
	 *
	 * @param revision its revision
	 */
	record Accepted(long revision) implements PublishResult {
	}

	/**
	 * The text was made from a revision that isn't the current one; it will never be
	 * accepted.
	 *
	 * @param revision current revision
	 * @param operator who published that revision, or an empty text if not known
	 */
	record Conflict(long revision, String operator) implements PublishResult {
	}

	/**
	 * The text may have been accepted or may still be.
	 */
	record Unknown() implements PublishResult {
	}

}
