package org.marjoramgw.policy.lease;

import java.util.List;
import java.util.Set;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link StandbyChoice}.
 *
 * @author The marjoramgw authors
 */
public class StandbyChoiceTests {

	@Test
	public void standbysAreInOtherFailureDomainsAndStay() {
		for (int number = 0; number < 50; number++) {
			StandbyChoice choice = new StandbyChoice("p0", "a", TestSeed.random(number));
			choice.onSeen("p0", "a", 7);
			choice.onSeen("p1", "a", 7);
			choice.onSeen("p2", "b", 7);
			choice.onSeen("p3", "b", 7);
			choice.onSeen("p4", "c", 7);
			List<String> chosen = choice.choose();
			Assert.assertEquals(chosen.size(), 2);
			Assert.assertTrue(chosen.contains("p4"), chosen.toString());
			Assert.assertFalse(chosen.contains("p0") || chosen.contains("p1"), chosen.toString());
			Assert.assertEquals(choice.choose(), chosen);
		}
	}

	@Test
	public void silentStandbyIsReplaced() {
		StandbyChoice choice = new StandbyChoice("p0", "a", TestSeed.random(0));
		choice.onSeen("p1", "b", 7);
		choice.onSeen("p2", "c", 7);
		Assert.assertEquals(Set.copyOf(choice.choose()), Set.of("p1", "p2"));
		choice.onSeen("p2", "c", 11);
		choice.onSeen("p3", "a", 11);
		Assert.assertEquals(choice.choose(), List.of("p2", "p3"));
	}

	@Test
	public void fewProcessesMakeFewStandbys() {
		StandbyChoice choice = new StandbyChoice("p0", "a", TestSeed.random(0));
		Assert.assertEquals(choice.choose(), List.of());
		choice.onSeen("p1", "a", 7);
		Assert.assertEquals(choice.choose(), List.of("p1"));
	}

}
