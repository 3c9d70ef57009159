package org.marjoramgw.direct.forward;

import java.util.Optional;

import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.Route;

/**
 * Request that the active configuration admits.
 *
 * @param route route of the request
 * @param account client account, or empty on an anonymous route
 * @param rank priority rank within the configuration; 0 is the most urgent
 * @param serverRank rank under which the server queues the request
 * @param deferredServerRank the same for a request that the server runs after others of
 * its rank
 * @param version version of the configuration that admitted it
 * @author The marjoramgw authors
 */
public record AdmittedRequest(Route route, Optional<Account> account, int rank, int serverRank, int deferredServerRank,
		long version) {

	/**
	 * Returns the log fields of a request that was not admitted.
	 * @param version version of the active configuration, 0 if there is none
	 * @return configuration version, and a rank that no request has
	 */
	static String describeNotAdmitted(long version) {
		return "version=" + version + " rank=-1";
	}

	/**
	 * Returns the log fields of the admission decision.
	 * @return configuration version and rank
	 */
	String describe() {
		return "version=" + this.version + " rank=" + this.rank;
	}

}
