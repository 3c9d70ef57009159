package org.marjoramgw.config;

/**
 * Result of publishing a configuration text.
 *
 * @author The marjoramgw authors
 */
public sealed interface PublishResult {

	/**
	 * The text was accepted as a new revision.
	 *
	 * @param revision revision number of the text
	 */
	record Accepted(long revision) implements PublishResult {
	}

	/**
	 * The text is based on a revision that isn't the current one; it will never be
	 * accepted.
	 *
	 * @param revision current revision
	 * @param operator name of the operator who published that revision, or an empty
	 * string if unknown
	 */
	record Conflict(long revision, String operator) implements PublishResult {
	}

	/**
	 * The text may have been accepted or may be accepted later.
	 */
	record Unknown() implements PublishResult {
	}

}
