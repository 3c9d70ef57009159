package org.marjoramgw.direct.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.PromptPart;
import org.marjoramgw.policy.fleet.FleetKeys;
import org.marjoramgw.policy.fleet.SharedPart;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link SendReport}.
 *
 * @author The marjoramgw authors
 */
public class SendReportTests {

	private static final BackendServer SERVER = new BackendServer("s1", "chat", new HostPort("127.0.0.1", 1), "a", 4,
			"v1", 77, false);

	/** Guards against parts that count as cached without those before them. */
	@Test
	public void sharedPartsHaveChainedKeysAndTheOwnPartIsLeftOut() {
		SendReport report = SendReport.of(
				request(17_020, new PromptPart("p", 13_000), new PromptPart("q", 300), new PromptPart("own", 3_720)),
				SERVER, 2_000, 100, 9_000);
		int first = FleetKeys.partKey(0, "p");
		Assert.assertEquals(report.sharedParts(),
				List.of(new SharedPart(first, 13_000), new SharedPart(FleetKeys.partKey(first, "q"), 300)));
		Assert.assertEquals(report.promptTokens(), 17_020);
		Assert.assertEquals(report.serverKey(), FleetKeys.serverKey("s1@77"));
	}

	/** Guards against a server that counts as late because the request waited here. */
	@Test
	public void timelyLimitIsTheRestOfTheTargetButAtLeastATenth() {
		Assert.assertEquals(SendReport.of(request(10), SERVER, 2_000, 100, 9_000).targetMillis(), 1_900);
		Assert.assertEquals(SendReport.of(request(10), SERVER, 2_000, 1_900, 9_000).targetMillis(), 200);
		Assert.assertEquals(SendReport.of(request(10), SERVER, 2_000, 5_000, 9_000).targetMillis(), 200);
	}

	/** Guards against requests that can never be timely because no target is set. */
	@Test
	public void withoutATargetTheDeadlineIsTheLimit() {
		Assert.assertEquals(SendReport.of(request(0), SERVER, 0, 100, 9_000).targetMillis(), 9_000);
		Assert.assertEquals(SendReport.of(request(0), SERVER, 0, 100, -5).targetMillis(), 1);
	}

	/** Guards against figures of callers that don't fit into a report. */
	@Test
	public void absurdFiguresAreBounded() {
		SendReport report = SendReport.of(
				request(Long.MAX_VALUE, new PromptPart("p", Long.MAX_VALUE), new PromptPart("q", -5)), SERVER, 10, 1,
				1);
		Assert.assertEquals(report.promptTokens(), 10_000_000);
		Assert.assertEquals(report.sharedParts().get(0).tokenCount(), 10_000_000);
		Assert.assertEquals(SendReport.of(request(-1), SERVER, 10, 1, 1).promptTokens(), 0);
	}

	private static CallerRequest request(long promptTokens, PromptPart... parts) {
		return new CallerRequest("id-1", "h", "/", OptionalLong.empty(), Optional.empty(), "m", List.of(parts),
				promptTokens, 80, Optional.empty());
	}

}
