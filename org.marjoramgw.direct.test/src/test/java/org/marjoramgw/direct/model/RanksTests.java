package org.marjoramgw.direct.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link Ranks}.
 *
 * @author The marjoramgw authors
 */
public class RanksTests {

	private static final List<Route> ROUTES = List.of(route(2), route(0), route(1), route(0));

	private static final Account LARGE = new Account("large", OptionalInt.of(0));

	private static final Account SMALL = new Account("small", OptionalInt.of(1));

	private static final Account PLAIN = new Account("plain", OptionalInt.empty());

	@Test
	public void ranksByAccountThenByRoute() {
		Ranks ranks = new Ranks(ROUTES, List.of(LARGE, SMALL, SMALL));
		List<Integer> order = new ArrayList<>();
		for (Account account : List.of(LARGE, SMALL)) {
			for (int priority = 0; priority <= 2; priority++) {
				order.add(ranks.rank(Optional.of(account), route(priority)));
			}
		}
		Assert.assertEquals(order, List.of(0, 1, 2, 3, 4, 5));
	}

	@Test
	public void accountsOfEqualPriorityAreRankedByRoute() {
		Ranks ranks = new Ranks(ROUTES, List.of(SMALL, SMALL));
		Assert.assertEquals(ranks.rank(Optional.of(SMALL), route(0)), 0);
		Assert.assertEquals(ranks.rank(Optional.of(SMALL), route(2)), 2);
	}

	@Test
	public void accountWithoutPriorityRanksLast() {
		Ranks ranks = new Ranks(ROUTES, List.of(PLAIN, SMALL));
		Assert.assertTrue(ranks.rank(Optional.of(PLAIN), route(0)) > ranks.rank(Optional.of(SMALL), route(2)));
		Assert.assertEquals(new Ranks(ROUTES, List.of(PLAIN)).rank(Optional.of(PLAIN), route(1)), 1);
	}

	@Test
	public void requestWithoutAccountHasRankOfItsRoute() {
		Assert.assertEquals(new Ranks(ROUTES, List.of()).rank(Optional.empty(), route(1)), 1);
		Assert.assertEquals(new Ranks(ROUTES, List.of(LARGE, SMALL)).rank(Optional.empty(), route(1)), 1);
	}

	@Test
	public void moreLevelsThanRanksKeepTheirOrder() {
		List<Route> routes = new ArrayList<>();
		List<Account> accounts = new ArrayList<>();
		for (int priority = 0; priority < 7; priority++) {
			routes.add(route(priority));
			accounts.add(new Account("a" + priority, OptionalInt.of(priority)));
		}
		Ranks ranks = new Ranks(routes, accounts);
		int before = 0;
		for (Account account : accounts) {
			for (Route route : routes) {
				int rank = ranks.rank(Optional.of(account), route);
				Assert.assertTrue(rank >= before && rank <= 9, account + " " + rank);
				before = rank;
			}
		}
		Assert.assertEquals(before, 9);
	}

	@Test
	public void lateRequestStaysAheadOfLessUrgentOnes() {
		for (int routeCount = 1; routeCount <= 14; routeCount++) {
			List<Route> routes = IntStream.range(0, routeCount).mapToObj(RanksTests::route).toList();
			Ranks ranks = new Ranks(routes, List.of());
			int previousRank = -1;
			int previousLate = -1;
			for (Route route : routes) {
				int rank = ranks.rank(Optional.empty(), route);
				int onTime = ranks.serverRank(rank, false);
				int late = ranks.serverRank(rank, true);
				Assert.assertTrue(rank == previousRank || onTime > previousLate, routeCount + " routes, " + rank);
				Assert.assertTrue(onTime <= late && late <= 9, routeCount + " routes, " + rank);
				previousRank = rank;
				previousLate = late;
			}
		}
	}

	@Test
	public void unusedRanksDivideTheLeastUrgentOnes() {
		Ranks ranks = new Ranks(ROUTES, List.of(LARGE, SMALL));
		List<Integer> serverRanks = new ArrayList<>();
		for (int rank = 0; rank < 6; rank++) {
			serverRanks.add(ranks.serverRank(rank, false));
			serverRanks.add(ranks.serverRank(rank, true));
		}
		Assert.assertEquals(serverRanks, List.of(0, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9));
	}

	private static Route route(int priority) {
		return new Route("r" + priority, "host", "/p/", RequestKind.STREAMING, false, false, 2_000, 300, Long.MAX_VALUE,
				0, priority, 1, List.of(new WeightedService("s", 1)));
	}

}
