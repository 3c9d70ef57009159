package org.marjoramgw.policy.candidate;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the selectors.
 *
 * @author The marjoramgw authors
 */
public class SelectorsTests {

	private static final int ROUNDS = 2_000;

	@DataProvider
	public Object[][] names() {
		return Selectors.NAMES.stream().map((name) -> new Object[] { name }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "names")
	public void neverSelectsTooManyOrTwiceOrExcluded(String name) {
		Random random = TestSeed.random(2);
		CandidateSelector selector = Selectors.create(name, random);
		for (int round = 0; round < ROUNDS; round++) {
			List<Candidate> live = randomCandidates(random);
			Set<String> excluded = random.nextBoolean() ? Set.of("s0", "s1") : Set.of();
			int count = 1 + random.nextInt(4);
			String key = random.nextBoolean() ? "prefix" + round : "";
			List<Candidate> selected = selector.select(new CandidateQuery("a", key, count, excluded), live);
			String message = "seed " + TestSeed.value() + " round " + round;
			Assert.assertTrue(selected.size() <= count, message);
			Assert.assertEquals(new HashSet<>(selected).size(), selected.size(), message);
			Assert.assertTrue(selected.stream().noneMatch((candidate) -> excluded.contains(candidate.sideId())),
					message);
			boolean anyEligible = live.stream().anyMatch((candidate) -> !excluded.contains(candidate.sideId()));
			Assert.assertEquals(!selected.isEmpty(), anyEligible, message);
		}
	}

	@Test
	public void prefersTheLeastLoadedThenTheOwnDomain() {
		List<Candidate> live = List.of(new Candidate("far", "b", 0, 0, 4), new Candidate("near", "a", 0, 0, 4),
				new Candidate("busy", "a", 3, 0, 4));
		List<Candidate> selected = new LateBindingSelector(new Random(1))
			.select(new CandidateQuery("a", "", 2, Set.of()), live);
		Assert.assertEquals(selected.stream().map(Candidate::sideId).toList(), List.of("near", "far"));
	}

	@Test
	public void keepsThePrefixOnItsCandidateUntilOverloaded() {
		String key = "account\nprefix";
		String preferred = RendezvousHash.top(key, List.of("s0", "s1", "s2"), 1).get(0);
		LateBindingSelector selector = new LateBindingSelector(new Random(1));
		CandidateQuery query = new CandidateQuery("a", key, 1, Set.of());
		Assert.assertEquals(selector.select(query, candidates(preferred, 3)).get(0).sideId(), preferred);
		Assert.assertNotEquals(selector.select(query, candidates(preferred, 4)).get(0).sideId(), preferred);
	}

	@Test
	public void movesOnlyTheKeysOfALostNode() {
		List<String> nodes = new ArrayList<>();
		for (int index = 0; index < 20; index++) {
			nodes.add("node" + index);
		}
		List<String> rest = new ArrayList<>(nodes);
		rest.remove("node7");
		for (int key = 0; key < ROUNDS; key++) {
			String before = RendezvousHash.top("key" + key, nodes, 1).get(0);
			String after = RendezvousHash.top("key" + key, rest, 1).get(0);
			Assert.assertTrue(before.equals(after) || before.equals("node7"));
		}
	}

	private static List<Candidate> candidates(String busy, int inFlight) {
		return List.of("s0", "s1", "s2")
			.stream()
			.map((id) -> new Candidate(id, "a", id.equals(busy) ? inFlight : 0, 0, 4))
			.toList();
	}

	private static List<Candidate> randomCandidates(Random random) {
		List<Candidate> live = new ArrayList<>();
		int size = random.nextInt(7);
		for (int index = 0; index < size; index++) {
			live.add(new Candidate("s" + index, random.nextBoolean() ? "a" : "b", random.nextInt(8), random.nextInt(8),
					1 + random.nextInt(8)));
		}
		return live;
	}

}
