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

	/** Least urgent rank. */
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
		int count = count();
		return (count <= MAX_RANK_COUNT) ? position : position * MAX_RANK_COUNT / count;
	}

	/**
	 * Returns the rank under which a backend server queues a request. The ranks that the
	 * configuration leaves unused separate deferred requests from the others of their
	 * rank, for the least urgent ranks first. A deferred request never ranks with or
	 * after less urgent ones, since the server would preempt it for them.
	 * @param rank rank of the request
	 * @param deferred whether the request can no longer meet its latency target, or takes
	 * the time in which the server could serve several others of its rank
	 * @return the rank, from 0 (most urgent) to at most 9
	 */
	public int serverRank(int rank, boolean deferred) {
		int count = Math.min(count(), MAX_RANK_COUNT);
		int firstDivided = count - Math.min(count, MAX_RANK_COUNT - count);
		int dividedBefore = Math.max(0, rank - firstDivided);
		return rank + dividedBefore + ((deferred && rank >= firstDivided) ? 1 : 0);
	}

	private int count() {
		return Math.max(1, this.accountPriorities.length) * this.routePriorities.length;
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
