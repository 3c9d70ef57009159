package org.marjoramgw.policy.candidate;

import java.util.HashMap;
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
		Assert.assertEquals(Subset.choose("e1", "d0", sides(9), COUNT).size(), 9);
	}

	@Test
	public void boundsTheConnectionsAndReachesEverySideProcess() {
		Map<String, String> sides = sides(SIDES);
		Map<String, Integer> countBySide = new HashMap<>();
		for (int entry = 0; entry < ENTRIES; entry++) {
			String domain = "d" + entry % DOMAINS;
			Set<String> chosen = Subset.choose("entry" + entry, domain, sides, COUNT);
			Assert.assertEquals(chosen.size(), COUNT);
			long near = chosen.stream().filter((side) -> sides.get(side).equals(domain)).count();
			Assert.assertTrue(near >= COUNT / 2 && near < COUNT, "near " + near);
			chosen.forEach((side) -> countBySide.merge(side, 1, Integer::sum));
		}
		Assert.assertEquals(countBySide.size(), SIDES, "side processes that no entry reaches");
	}

	@Test
	public void changesFewConnectionsWhenOneSideProcessGoes() {
		Map<String, String> sides = sides(SIDES);
		Set<String> before = Subset.choose("e1", "d0", sides, COUNT);
		sides.remove(before.iterator().next());
		Set<String> after = Subset.choose("e1", "d0", sides, COUNT);
		long kept = after.stream().filter(before::contains).count();
		Assert.assertTrue(kept >= COUNT - 2, "kept " + kept);
	}

	private static Map<String, String> sides(int count) {
		Map<String, String> sides = new HashMap<>();
		for (int index = 0; index < count; index++) {
			sides.put("side" + index, "d" + index % DOMAINS);
		}
		return sides;
	}

}
