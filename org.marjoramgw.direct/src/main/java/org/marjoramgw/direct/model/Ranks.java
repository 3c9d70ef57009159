package org.marjoramgw.direct.model;

import java.util.Collection;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Ranks of the requests of one configuration: by the priority of the client account
 * first, and among accounts of one priority by that of the route.
 * <p>
 * An account without a priority comes after all that have one.
 *
 * @author The marjoramgw authors
 */
public final class Ranks {

	/** Ranks that backend servers tell apart. */
	private static final int MAX_RANK_COUNT = 10;

	/** Rank of what runs only when nothing else can. */
	public static final int LEAST_URGENT = MAX_RANK_COUNT - 1;

	private static final int NO_PRIORITY = Integer.MAX_VALUE;

	/** Priorities of accounts that occur, each once, ascending. */
	private final int[] accountPriorities;

	/** Priorities of routes that occur, each once, ascending. */
	private final int[] routePriorities;

	/**
	 * Creates the ranks of a configuration.
	 * @param routes its routes
	 * @param accounts its client accounts
	 */
	public Ranks(Collection<Route> routes, Collection<Account> accounts) {
		this.accountPriorities = levels(accounts.stream().mapToInt(Ranks::priority));
		this.routePriorities = levels(routes.stream().mapToInt(Route::priority));
	}

	/**
	 * Returns the rank of a request.
	 * @param account its client account, or empty on a route without keys
	 * @param route its route
	 * @return the rank; 0 is the most urgent, 9 the least urgent at most
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
