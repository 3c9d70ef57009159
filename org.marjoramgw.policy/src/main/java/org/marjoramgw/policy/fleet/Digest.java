package org.marjoramgw.policy.fleet;

import java.util.List;

/**
 * What one entry process tells its peers at a time. Rows that didn't change since an
 * earlier digest may be left out.
 *
 * @param processId id of the process
 * @param incarnation start of the process in milliseconds since the Unix epoch
 * @param sequence number of the digest, rising in an incarnation
 * @param servers reports on backend servers
 * @param prompts prompts sent since earlier digests
 * @author The marjoramgw authors
 */
public record Digest(String processId, long incarnation, long sequence, List<ServerReport> servers,
		List<PromptReport> prompts) {

	/**
	 * Creates a digest.
	 */
	public Digest {
		servers = List.copyOf(servers);
		prompts = List.copyOf(prompts);
	}

}
