package org.marjoramgw.load.measure;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Execution of a request at an engine.
 *
 * @param requestId id of the request that was executed
 * @param prefillTokens number of prompt tokens that were prefilled
 * @param generatedTokens number of generated tokens
 * @param state state of the execution, such as {@code done} or {@code cancelled}
 * @param startedMillis start time, in milliseconds
 * @param endedMillis end time, in milliseconds; 0 while it runs
 * @author The marjoramgw authors
 */
public record EngineExecution(String requestId, long prefillTokens, long generatedTokens, String state,
		long startedMillis, long endedMillis) {

	private static final String CONTINUATION_SUFFIX = "~\\d+$";

	/**
	 * Creates an execution from its JSON object.
	 * @param node the JSON object
	 * @return the execution
	 */
	public static EngineExecution of(JsonNode node) {
		String requestId = node.path("request_id").asText().replaceFirst(CONTINUATION_SUFFIX, "");
		return new EngineExecution(requestId, node.path("prefill_tokens").asLong(),
				node.path("generated_tokens").asLong(), node.path("state").asText(), node.path("started_ms").asLong(),
				node.path("ended_ms").asLong());
	}

}
