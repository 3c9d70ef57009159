package org.marjoramgw.policy.candidate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link Subset} at the target size.
 *
 * @author The marjoramgw authors
 */
public class SubsetTests {

	private static final int ENTRIES = 320;

	private static final int SIDES = 670;

	private static final int DOMAINS = 7;

	private static final int COUNT = 24;

	@Test
	public void takesAllOfASmallPool() {
		Assert.assertEquals(Subset.choose("entry1", "d0", entries(), sides(9), COUNT).size(), 9);
	}

	@Test
	public void boundsTheConnectionsOnBothEnds() {
		Map<String, String> sides = sides(SIDES);
		List<String> entries = entries();
		Map<String, Integer> countBySide = new HashMap<>();
		for (int entry = 0; entry < ENTRIES; entry++) {
			String domain = "d" + entry % DOMAINS;
			Set<String> chosen = Subset.choose("entry" + entry, domain, entries, sides, COUNT);
			Assert.assertTrue(chosen.size() >= COUNT / 2 && chosen.size() <= 2 * COUNT, "size " + chosen.size());
			long sameDomain = chosen.stream().filter((side) -> sides.get(side).equals(domain)).count();
			Assert.assertTrue(sameDomain >= COUNT / 2, "in the same domain: " + sameDomain);
			chosen.forEach((side) -> countBySide.merge(side, 1, Integer::sum));
		}
		int min = sides.keySet().stream().mapToInt((side) -> countBySide.getOrDefault(side, 0)).min().orElse(0);
		int max = countBySide.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		int mean = COUNT * ENTRIES / SIDES;
		Assert.assertTrue(min >= mean / 2 - 1, "a side process with only " + min + " entries");
		Assert.assertTrue(max <= 3 * mean, "a side process with " + max + " entries");
	}

	@Test
	public void changesFewConnectionsWhenOneProcessGoes() {
		Map<String, String> sides = sides(SIDES);
		List<String> entries = entries();
		Set<String> before = Subset.choose("entry1", "d0", entries, sides, COUNT);
		sides.remove(before.iterator().next());
		entries.remove("entry7");
		Set<String> after = Subset.choose("entry1", "d0", entries, sides, COUNT);
		long kept = after.stream().filter(before::contains).count();
		Assert.assertTrue(kept >= before.size() - 3, "kept " + kept + " of " + before.size());
	}

	private static List<String> entries() {
		List<String> entries = new ArrayList<>();
		for (int index = 0; index < ENTRIES; index++) {
			entries.add("entry" + index);
		}
		return entries;
	}

	private static Map<String, String> sides(int count) {
		Map<String, String> sides = new HashMap<>();
		for (int index = 0; index < count; index++) {
			sides.put("side" + index, "d" + index % DOMAINS);
		}
		return sides;
	}

}
