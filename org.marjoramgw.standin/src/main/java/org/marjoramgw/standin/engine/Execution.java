package org.marjoramgw.standin.engine;

/**
 * Execution of a chat completion request.
 *
 * @param requestId id of the request, or an empty string
 * @param model name of the model
 * @param promptSha256 hash of the content of the last message
 * @param continueFromTokens number of response tokens that the client already had
 * @param prefillTokens number of prompt tokens that were not in the prefix cache
 * @param generatedTokens number of generated tokens
 * @param state {@code waiting}, {@code running}, {@code done}, {@code cancelled} or
 * {@code crashed}
 * @param startedMs when prefill started, in milliseconds since the Unix epoch, or 0
 * @param endedMs when it ended, in milliseconds since the Unix epoch, or 0
 * @author The marjoramgw authors
 */
public record Execution(String requestId, String model, String promptSha256, int continueFromTokens, int prefillTokens,
		int generatedTokens, String state, long startedMs, long endedMs) {

	/** State of a running generation. */
	public static final String RUNNING = "running";

	/** State of a finished generation. */
	public static final String DONE = "done";

	/** State of a generation that was cancelled after it started. */
	public static final String CANCELLED = "cancelled";

	/** State of a generation that was aborted by a crash of the engine. */
	public static final String CRASHED = "crashed";

}
