package org.marjoramgw.policy.placement;

import java.util.List;

/**
 * Leaves out servers that failed lately, unless all did.
 *
 * @author The marjoramgw authors
 */
final class SuspectFilter {

	private SuspectFilter() {
	}

	static List<ServerView> excludeSuspects(List<ServerView> servers) {
		List<ServerView> sound = servers.stream().filter((server) -> !server.suspect()).toList();
		return sound.isEmpty() ? servers : sound;
	}

}
