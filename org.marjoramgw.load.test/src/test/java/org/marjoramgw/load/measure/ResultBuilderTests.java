package org.marjoramgw.load.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.Limits;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.load.arrival.Arrival;
import org.marjoramgw.load.driver.RequestRecord;
import org.marjoramgw.load.experiment.DeploymentDescription;
import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.load.experiment.Phase;
import org.marjoramgw.load.experiment.RequestClassLoad;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the measures that are computed from the requests and executions of a run.
 *
 * @author The marjoramgw authors
 */
public class ResultBuilderTests {

	private static final RequestClassLoad LOAD = new RequestClassLoad("fast", 60, 1, "m", true, 20, 50, 10, "", "",
			false);

	private static final RequestClass TARGETS = new RequestClass("fast", 1, 100, 50, 1_000, 30, 10);

	@DataProvider
	public Object[][] requests() {
		return new Object[][] {
				// first token, completion, gap, code, outcome, complete, misdelivered,
				// attained, refused
				{ 100L, 1_000L, 50L, 0, "", true, false, true, false },
				{ 101L, 1_000L, 50L, 0, "", true, false, false, false },
				{ 100L, 1_001L, 50L, 0, "", true, false, false, false },
				{ 100L, 1_000L, 51L, 0, "", true, false, false, false },
				{ 100L, 1_000L, -1L, 0, "", true, false, true, false },
				{ 100L, 1_000L, 50L, 0, "", false, false, false, false },
				{ 100L, 1_000L, 50L, 0, "", true, true, false, false },
				{ -1L, 5L, -1L, 3001, "not_run", false, false, false, true },
				{ 100L, 5L, -1L, 3018, "unknown", false, false, false, false } };
	}

	@Test(dataProvider = "requests")
	public void requestMustMeetEveryTarget(long firstMillis, long completionMillis, long gapMillis, int code,
			String outcome, boolean complete, boolean misdelivered, boolean attained, boolean refused) {
		TargetCheck check = new TargetCheck(TARGETS, LOAD);
		RequestRecord request = new RequestRecord("fast", "a", 0, firstMillis, completionMillis, gapMillis, 5, 200,
				code, outcome, complete, misdelivered, "r", "");
		Assert.assertEquals(check.isAttained(request), attained);
		Assert.assertEquals(check.isRefused(request), refused);
	}

	@Test
	public void unansweredRequestsFailAndSmallWindowsAreIgnored() {
		List<Arrival> arrivals = new ArrayList<>();
		List<RequestRecord> requests = new ArrayList<>();
		for (int index = 0; index < 20; index++) {
			add(arrivals, requests, index * 500L, index != 0);
		}
		for (int index = 0; index < 4; index++) {
			add(arrivals, requests, 10_000L + index, true);
		}
		arrivals.add(new Arrival(10_100, LOAD, "a", 5, "open"));
		ClassResult result = builder(arrivals, requests).classResults(Map.of(), List.of(), 0).get(0);
		Assert.assertEquals(result.requests(), 25);
		Assert.assertEquals(result.attained(), 23);
		Assert.assertEquals(result.late(), 1);
		Assert.assertEquals(result.failed(), 1);
		Assert.assertEquals(result.worstWindowPercent(), 95.0, "window 2 has too few requests to count");
	}

	@Test
	public void windowWithoutResponsesHasNoFirstToken() {
		List<Arrival> arrivals = new ArrayList<>();
		List<RequestRecord> requests = new ArrayList<>();
		add(arrivals, requests, 0, true);
		arrivals.add(new Arrival(10_000, LOAD, "a", 5, "refused"));
		requests.add(new RequestRecord("fast", "a", 10_000, 1, 1, -1, 0, 503, 3002, "not_run", false, false, "x", ""));
		List<WindowResult> windows = builder(arrivals, requests).windowResults();
		Assert.assertEquals(windows.get(0).firstTokenP95Millis(), Map.of("fast", 10L));
		Assert.assertEquals(windows.get(1).firstTokenP95Millis(), Map.of());
		Assert.assertEquals(windows.get(1).attainmentPercent(), Map.of("fast", 0.0));
	}

	@Test
	public void undeliveredTokensAreWasted() {
		List<Arrival> arrivals = new ArrayList<>();
		List<RequestRecord> requests = new ArrayList<>();
		add(arrivals, requests, 0, true);
		requests.add(new RequestRecord("fast", "a", 0, 10, 20, -1, 2, 200, 3017, "unknown", false, false, "late", ""));
		List<EngineExecution> executions = List.of(new EngineExecution("r0", 40, 4, "cancelled", 0, 10),
				new EngineExecution("r0", 7, 3, "done", 10, 20), new EngineExecution("late", 5, 9, "cancelled", 0, 10),
				new EngineExecution("nobody", 5, 1, "done", 0, 10));
		WorkResult work = builder(arrivals, requests).workResult(executions);
		Assert.assertEquals(work.generatedTokens(), 17);
		Assert.assertEquals(work.deliveredTokens(), 5);
		Assert.assertEquals(work.wastedTokensByCause(),
				Map.of("generated twice", 2L, "ended with code 3017", 9L, "no answer at the caller", 1L));
		Assert.assertEquals(work.recomputedPrefillTokens(), 7);
		Assert.assertEquals(work.goodputTokensPerSecond(), 0.25);
	}

	@Test
	public void slotTimeSharesAreComputedByWindow() {
		SlotTimeUsage usage = new SlotTimeUsage(1_000, 100, 2);
		RequestRecord fast = request("fast", "f", 0, 200);
		RequestRecord slow = request("slow", "s", 0, 200);
		usage.addExecutions(List.of(new EngineExecution("f", 0, 0, "done", 1_000, 1_175),
				new EngineExecution("s", 0, 0, "running", 1_100, 0)), Map.of("f", fast, "s", slow), 1_200);
		usage.addRequest(fast, false);
		usage.addRequest(slow, false);
		Assert.assertEquals(usage.sharePercent("slow"), 100.0 * 100 / 275);
		Assert.assertEquals(usage.minWindowSharePercent("slow", 5), 0.0, "it had an open request in window 1");
		Assert.assertEquals(usage.minWindowSharePercent("none", 5), -1.0);
	}

	private static void add(List<Arrival> arrivals, List<RequestRecord> requests, long offsetMillis, boolean inTime) {
		arrivals.add(new Arrival(offsetMillis, LOAD, "a", 5, "r" + requests.size()));
		requests.add(new RequestRecord("fast", "a", offsetMillis, inTime ? 10 : 500, 600, 20, 5, 200, 0, "", true,
				false, "r" + requests.size(), ""));
	}

	private static RequestRecord request(String requestClass, String id, long offsetMillis, long completionMillis) {
		return new RequestRecord(requestClass, "a", offsetMillis, 1, completionMillis, -1, 1, 200, 0, "", true, false,
				id, "");
	}

	private static ResultBuilder builder(List<Arrival> arrivals, List<RequestRecord> requests) {
		DeploymentDescription deployment = new DeploymentDescription("d", Path.of("none"), List.of(), List.of(),
				Map.of("fast", LOAD));
		Experiment experiment = new Experiment("e", deployment, 1, 10_000, 10, 0, false, Map.of(), Map.of(), Map.of(),
				Map.of(), List.of(new Phase("p", 20_000, 100, Map.of(), "", 0)), List.of());
		Limits limits = new Limits(1, "random", 1, 1, "tiers", 1, 1, 1, 0, false, 0, 1);
		Configuration configuration = new Configuration(1, Map.of(), Map.of("fast", TARGETS), Map.of(), List.of(),
				limits);
		return new ResultBuilder(experiment, configuration, arrivals, requests, 0);
	}

}
