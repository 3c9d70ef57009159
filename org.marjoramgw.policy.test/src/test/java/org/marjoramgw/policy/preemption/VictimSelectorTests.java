package org.marjoramgw.policy.preemption;

import java.util.List;
import java.util.Optional;

import org.marjoramgw.policy.queue.RequestKey;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link VictimSelector} by tables.
 *
 * @author The marjoramgw authors
 */
public class VictimSelectorTests {

	@DataProvider
	public Object[][] cases() {
		RunningRequest top = running("top", "reply", 1, 10, 0);
		RunningRequest draft = running("draft", "draft", 3, 10, 0);
		RunningRequest longSummary = running("longSummary", "summary", 4, 900, 0);
		RunningRequest shortSummary = running("shortSummary", "summary", 4, 200, 0);
		RunningRequest oftenPreempted = running("oftenPreempted", "summary", 4, 5, 3);
		RunningRequest atFloor = running("atFloor", "floored", 4, 5, 0);
		return new Object[][] { { "nothing runs", 1, List.of(), null },
				{ "an equal tier is not preempted", 1, List.of(top), null },
				{ "a higher tier is not preempted", 3, List.of(top, draft), null },
				{ "the lowest tier is preempted first", 1, List.of(draft, longSummary), "longSummary" },
				{ "the cheapest stream of a tier is preempted first", 1, List.of(longSummary, shortSummary),
						"shortSummary" },
				{ "a stream preempted often is not preempted again", 1, List.of(oftenPreempted), null },
				{ "a class at its floor is not preempted", 1, List.of(atFloor, draft), "draft" } };
	}

	@Test(dataProvider = "cases")
	public void selects(String name, int tier, List<RunningRequest> running, String expected) {
		Optional<RunningRequest> chosen = new VictimSelector().select(tier, running,
				(requestClass) -> !"floored".equals(requestClass));
		Assert.assertEquals(chosen.map((request) -> request.key().requestId()).orElse(null), expected, name);
	}

	private static RunningRequest running(String id, String requestClass, int tier, long tokens, int preempted) {
		return new RunningRequest(new RequestKey("entry", 1, id, 1), requestClass, tier, tokens, preempted);
	}

}
