package org.marjoramgw.load.measure;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Generation that an engine ran.
 *
 * @param requestId request id that it was run for
 * @param prefillTokens prompt tokens that were computed
 * @param generatedTokens tokens that were generated
 * @param state how it ended
 * @param startedMillis when it started, in milliseconds
 * @param endedMillis when it ended, in milliseconds; 0 while it runs
 * @author The marjoramgw authors
 */
public record EngineExecution(String requestId, long prefillTokens, long generatedTokens, String state,
		long startedMillis, long endedMillis) {

	private static final String CONTINUATION_SUFFIX = "~\\d+$";

	/**
	 * Reads an execution.
	 * @param node its JSON object
	 * @return the execution
	 */
	public static EngineExecution of(JsonNode node) {
		String requestId = node.path("request_id").asText().replaceFirst(CONTINUATION_SUFFIX, "");
		return new EngineExecution(requestId, node.path("prefill_tokens").asLong(),
				node.path("generated_tokens").asLong(), node.path("state").asText(), node.path("started_ms").asLong(),
				node.path("ended_ms").asLong());
	}

}
