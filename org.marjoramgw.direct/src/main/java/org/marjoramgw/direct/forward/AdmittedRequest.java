package org.marjoramgw.direct.forward;

import java.util.Optional;

import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.Route;

/**
 * Request that the configuration in force allows.
 *
 * @param route its route
 * @param account client account, or empty on a route without keys
 * @param rank rank among the requests of this configuration, 0 is the most urgent
 * @param version version of the configuration
 * @author The marjoramgw authors
 */
public record AdmittedRequest(Route route, Optional<Account> account, int rank, long version) {

	/** Description of a request that was not admitted. */
	static final String NOT_ADMITTED = "version=0 rank=-1";

	/**
	 * Describes what decided about the request, for a log line.
	 * @return version of the configuration and rank
	 */
	String describe() {
		return "version=" + this.version + " rank=" + this.rank;
	}

}
