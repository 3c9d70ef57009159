package org.marjoramgw.standin.engine;

/**
 * One execution of a call for a generation.
 *
 * @param requestId id of the request, or an empty text
 * @param model name of the model
 * @param promptSha256 hash of the content of the last message
 * @param continueFromTokens tokens that the caller had already
 * @param prefillTokens prompt tokens that were computed
 * @param generatedTokens tokens that were generated
 * @param state {@code waiting}, {@code running}, {@code done}, {@code cancelled} or
 * {@code crashed}
 * @param startedMs when prefill started, in milliseconds since the Unix epoch, or 0
 * @param endedMs when it ended, in milliseconds since the Unix epoch, or 0
 * @author The marjoramgw authors
 */
public record Execution(String requestId, String model, String promptSha256, int continueFromTokens, int prefillTokens,
		int generatedTokens, String state, long startedMs, long endedMs) {

	/** State of a generation under way. */
	public static final String RUNNING = "running";

	/** State of a finished generation. */
	public static final String DONE = "done";

	/** State of a generation that was cancelled after it started. */
	public static final String CANCELLED = "cancelled";

	/** State of a generation that a crash of the engine ended. */
	public static final String CRASHED = "crashed";

}
