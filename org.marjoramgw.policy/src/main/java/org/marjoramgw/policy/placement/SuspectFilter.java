package org.marjoramgw.policy.placement;

import java.util.List;

/**
 * Excludes the servers that failed recently, unless all of them did.
 *
 * @author The marjoramgw authors
 */
final class SuspectFilter {

	private SuspectFilter() {
	}

	static List<ServerView> excludeSuspects(List<ServerView> servers) {
		List<ServerView> healthy = servers.stream().filter((server) -> !server.suspect()).toList();
		return healthy.isEmpty() ? servers : healthy;
	}

}
