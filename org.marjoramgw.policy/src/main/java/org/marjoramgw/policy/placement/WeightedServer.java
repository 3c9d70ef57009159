package org.marjoramgw.policy.placement;

import org.marjoramgw.policy.candidate.RendezvousHash;

/**
 * Server that is to get a share of the requests that it would get otherwise.
 *
 * @param server the server
 * @param weight the share, above 0 and up to 1
 * @author The marjoramgw authors
 */
record WeightedServer(ServerView server, double weight) {

	/**
	 * Returns the load of the server as seen by its share.
	 * @return the load, in the unit of {@link ServerView#load}
	 */
	double relativeLoad() {
		return this.server.load() / this.weight;
	}

	/**
	 * Ranks the server for a key.
	 * @param key the key
	 * @return the score; the server with the highest one comes first
	 */
	double score(String key) {
		return RendezvousHash.weightedScore(key, this.server.id(), this.weight);
	}

}
