package org.marjoramgw.policy.waiting;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link Urgency}.
 *
 * @author The marjoramgw authors
 */
public class UrgencyTests {

	@Test
	public void lowerRankGoesFirstThenTheNewest() {
		List<Urgency> order = List.of(Urgency.read(0, 20), Urgency.read(0, 10), Urgency.read(1, 30),
				Urgency.read(1, 5));
		List<Urgency> sorted = new ArrayList<>(order);
		Collections.shuffle(sorted, TestSeed.random(39));
		Collections.sort(sorted);
		Assert.assertEquals(sorted, order, "seed " + TestSeed.value());
	}

	@Test
	public void requestThatWasReadGoesBeforeUnreadOnesOfItsRank() {
		Assert.assertTrue(Urgency.read(1, 5).compareTo(Urgency.unread(1, 10)) < 0);
		Assert.assertTrue(Urgency.read(1, 5).compareTo(Urgency.unread(0, 10)) > 0);
		Assert.assertTrue(Urgency.unread(1, 10).compareTo(Urgency.unread(1, 5)) < 0);
	}

	@Test
	public void requestWithAReservedServerGoesFirstInItsRank() {
		Urgency admitted = Urgency.read(1, 5).admitted();
		Assert.assertTrue(admitted.compareTo(Urgency.read(1, 10)) < 0);
		Assert.assertTrue(admitted.compareTo(Urgency.read(0, 10)) > 0);
	}

	@Test
	public void requestsOfOneRankDoNotOutrankEachOther() {
		Assert.assertTrue(Urgency.read(0, 10).outranks(Urgency.read(1, 20)));
		Assert.assertFalse(Urgency.read(1, 20).outranks(Urgency.read(1, 10)));
		Assert.assertFalse(Urgency.read(1, 20).outranks(Urgency.read(0, 10)));
	}

}
