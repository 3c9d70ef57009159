package org.marjoramgw.direct.backend;

import org.marjoramgw.direct.caller.CallerRequest;

/**
 * Work that a request puts on a backend server, in milliseconds of the server's time for
 * a prompt and as a count for a plain request.
 *
 * @author The marjoramgw authors
 */
public final class PrefillEstimate {

	/** Prompt tokens that an engine reads in a millisecond, to the order of magnitude. */
	public static final double TOKENS_PER_MILLI = 150;

	/** Time to the first event of a prompt that is all cached, in milliseconds. */
	public static final double BASE_MILLIS = 40;

	/** Work of a stream that has begun: it only makes each step a little longer. */
	public static final double RUNNING_WORK = 0.3;

	private PrefillEstimate() {
	}

	/**
	 * Estimates the work until the first event.
	 * @param request the request
	 * @return its work, the shared part of a prompt not counted since it is mostly cached
	 */
	public static double workOf(CallerRequest request) {
		return request.promptParts().isEmpty() ? 1 : 1 + request.ownTokenCount() / TOKENS_PER_MILLI;
	}

}
