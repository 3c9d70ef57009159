package org.marjoramgw.direct.model;

/**
 * Limits of the engine that each backend server of a service runs.
 *
 * @param slotCount number of requests that it runs concurrently,
 * {@link Integer#MAX_VALUE} if it isn't configured
 * @param memoryTokens tokens that running requests and cached prompts may occupy,
 * {@link Long#MAX_VALUE} if it isn't configured
 * @author The marjoramgw authors
 */
public record EngineLimits(int slotCount, long memoryTokens) {

	/** Limits of a service without an engine. */
	public static final EngineLimits UNBOUNDED = new EngineLimits(Integer.MAX_VALUE, Long.MAX_VALUE);

}
