package org.marjoramgw.policy.fleet;

/**
 * Load of a backend server.
 *
 * @param unreadTokens prompt tokens sent there whose first token is outstanding
 * @param requestCount requests that were sent there and have not ended
 * @author The marjoramgw authors
 */
public record ServerLoad(double unreadTokens, double requestCount) {

	/** No load. */
	public static final ServerLoad NONE = new ServerLoad(0, 0);

}
