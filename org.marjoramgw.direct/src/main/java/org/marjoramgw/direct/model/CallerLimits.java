package org.marjoramgw.direct.model;

/**
 * Limits on the connections and requests of callers.
 *
 * @param maxHeaderBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis timeout for receiving a request head, in milliseconds
 * @param idleTimeoutMillis idle timeout of a connection, in milliseconds
 * @author The marjoramgw authors
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Limits that apply until a configuration is loaded. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

}
