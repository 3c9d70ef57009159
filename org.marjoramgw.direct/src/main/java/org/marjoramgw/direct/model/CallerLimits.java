package org.marjoramgw.direct.model;

/**
 * Bounds of what callers may send.
 *
 * @param maxHeaderBytes greatest size of a request's head, in bytes
 * @param maxBodyBytes greatest size of a body, in bytes
 * @param headerTimeoutMillis longest time for a head to arrive, in milliseconds
 * @param idleTimeoutMillis longest time that a connection may stay idle, in milliseconds
 * @author The marjoramgw authors
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Limits until a configuration is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

}
