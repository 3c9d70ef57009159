package org.marjoramgw.direct.model;

import java.util.Collection;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Priority ranks of the requests of one configuration. Requests are ranked by the
 * priority of the client account first, then by the priority of the route.
 * <p>
 * An account without a priority ranks after all accounts that have one.
 *
 * @author The marjoramgw authors
 */
public final class Ranks {

	/** Number of ranks that backend servers distinguish. */
	private static final int MAX_RANK_COUNT = 10;

	/** Rank of requests that run only when no other request can. */
	public static final int LEAST_URGENT = MAX_RANK_COUNT - 1;

	private static final int NO_PRIORITY = Integer.MAX_VALUE;

	/** Distinct priorities of the accounts, in ascending order. */
	private final int[] accountPriorities;

	/** Distinct priorities of the routes, in ascending order. */
	private final int[] routePriorities;

	/**
	 * Creates the ranks of a configuration.
	 * @param routes routes of the configuration
	 * @param accounts client accounts of the configuration
	 */
	public Ranks(Collection<Route> routes, Collection<Account> accounts) {
		this.accountPriorities = levels(accounts.stream().mapToInt(Ranks::priority));
		this.routePriorities = levels(routes.stream().mapToInt(Route::priority));
	}

	/**
	 * Returns the rank of a request.
	 * @param account client account, or empty on an anonymous route
	 * @param route route of the request
	 * @return the rank, from 0 (most urgent) to at most 9
	 */
	public int rank(Optional<Account> account, Route route) {
		int accountLevel = account.map((known) -> level(this.accountPriorities, priority(known))).orElse(0);
		int position = accountLevel * this.routePriorities.length + level(this.routePriorities, route.priority());
		int count = Math.max(1, this.accountPriorities.length) * this.routePriorities.length;
		return (count <= MAX_RANK_COUNT) ? position : position * MAX_RANK_COUNT / count;
	}

	private static int priority(Account account) {
		return account.priority().orElse(NO_PRIORITY);
	}

	private static int[] levels(IntStream priorities) {
		return priorities.distinct().sorted().toArray();
	}

	private static int level(int[] levels, int priority) {
		return (int) IntStream.of(levels).filter((level) -> level < priority).count();
	}

}
