package org.marjoramgw.direct.forward;

import java.util.Optional;

import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.Route;

/**
 * Request that the configuration in force allows.
 *
 * @param route its route
 * @param account client account, or empty on a route without keys
 * @param version version of the configuration
 * @author The marjoramgw authors
 */
public record Admitted(Route route, Optional<Account> account, long version) {

	/**
	 * Returns the rank of the request.
	 * @return the account's rank if it has one, otherwise the route's; 0 is the most
	 * urgent
	 */
	public int priority() {
		return this.account.map(Account::priority)
			.filter((priority) -> priority.isPresent())
			.map((priority) -> priority.getAsInt())
			.orElse(this.route.priority());
	}

}
