package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.LinkKind;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a call reported to its caller as not run did not run, with the link between
 * entry and side process cut at each message of the exchange.
 *
 * @author The marjoramgw authors
 */
public class NotRunTests extends AbstractDeploymentTests {

	private static final String NOT_RUN = "not_run";

	private static final String NO_FAULT = "{\"mode\":\"pass\",\"delay_ms\":0,\"cut_after_bytes_up\":0,\"cut_after_bytes_down\":0}";

	private int callCount;

	@Override
	protected DeploymentPlan plan() {
		return DeploymentPlans.of(2, 2, 2);
	}

	@AfterMethod
	public void clearFaults() throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			fixture().controlLink(LinkKind.ENTRY_SIDE, side.name(), NO_FAULT);
		}
		fixture().setPlainDelay(5);
		fixture().awaitServing();
	}

	/**
	 * Lists the points at which a link is cut: after a number of bytes towards the side
	 * processes (reserve, run, ack, heartbeats between them) or back (grant, chunk, end).
	 * @return direction and number of bytes that still pass
	 */
	@DataProvider
	public Object[][] linkCuts() {
		List<Object[]> cuts = new ArrayList<>();
		for (int bytes : new int[] { 1, 20, 60, 90, 120, 160, 200, 240, 280, 320, 380, 450, 550 }) {
			cuts.add(new Object[] { "up", bytes });
		}
		for (int bytes : new int[] { 1, 10, 25, 40, 55, 70, 90, 110, 140, 180, 230, 300 }) {
			cuts.add(new Object[] { "down", bytes });
		}
		return cuts.toArray(new Object[0][]);
	}

	@Test(dataProvider = "linkCuts")
	public void orderReportedNotRunDidNotRun(String direction, int bytes) throws Exception {
		cutLinksAfter(direction, bytes);
		List<String> orders = new ArrayList<>();
		List<CompletableFuture<CallResult>> calls = new ArrayList<>();
		for (int count = 0; count < 6; count++) {
			this.callCount++;
			String order = "order-" + TestSeed.value() + "-" + this.callCount;
			orders.add(order);
			calls.add(fixture().order("entry-" + (1 + count % 2), order, ""));
		}
		for (int index = 0; index < calls.size(); index++) {
			CallResult answer = DeploymentFixture.await(calls.get(index));
			int runs = fixture().runsOfOrder(orders.get(index));
			String details = direction + " " + bytes + ": " + orders.get(index) + " ran " + runs + " times, reported "
					+ answer;
			Assert.assertTrue(runs <= 1, details);
			Assert.assertTrue(!answer.outcome().equals(NOT_RUN) || runs == 0, details);
			Assert.assertTrue(!answer.complete() || runs == 1, details);
		}
	}

	/**
	 * Keeps the side processes unreachable for longer than an answer waits for them,
	 * while the orders continue at the plain services.
	 */
	@Test
	public void runningOrderIsNeverReportedNotRun() throws Exception {
		fixture().setPlainDelay(2_500);
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		for (int count = 0; count < 6; count++) {
			this.callCount++;
			String order = "away-" + TestSeed.value() + "-" + this.callCount;
			calls.put(order, fixture().order("entry-" + (1 + count % 2), order, ""));
		}
		for (String order : calls.keySet()) {
			Await.until(order + " runs", () -> fixture().runsOfOrder(order) == 1);
		}
		for (BackendPlan backend : fixture().backends(ServiceKind.PLAIN)) {
			fixture().controlLink(LinkKind.ENTRY_SIDE, backend.name(), "{\"mode\":\"refuse\"}");
		}
		for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
			CallResult answer = DeploymentFixture.await(call.getValue());
			Assert.assertEquals(answer.outcome(), "unknown", call.getKey() + " was reported as " + answer);
			Assert.assertEquals(fixture().runsOfOrder(call.getKey()), 1, call.getKey() + " was reported as " + answer);
		}
	}

	@Test(dataProvider = "linkCuts")
	public void generationReportedNotRunDidNotRun(String direction, int bytes) throws Exception {
		cutLinksAfter(direction, bytes);
		List<String> prompts = new ArrayList<>();
		List<CompletableFuture<CallResult>> calls = new ArrayList<>();
		for (int count = 0; count < 4; count++) {
			this.callCount++;
			String prompt = "len=5 question " + TestSeed.value() + " " + this.callCount;
			prompts.add(prompt);
			calls.add(fixture().chat("entry-" + (1 + count % 2), TestConfiguration.TOP_CLASS, prompt));
		}
		for (int index = 0; index < calls.size(); index++) {
			CallResult answer = DeploymentFixture.await(calls.get(index));
			int runs = fixture().runsOfPrompt(prompts.get(index));
			String details = direction + " " + bytes + ": " + prompts.get(index) + " ran " + runs + " times, reported "
					+ answer;
			Assert.assertTrue(!answer.outcome().equals(NOT_RUN) || runs == 0, details);
			Assert.assertTrue(
					!answer.complete() || answer.text().equals(DeploymentFixture.expectedAnswer(prompts.get(index))),
					details);
		}
	}

	private void cutLinksAfter(String direction, int bytes) throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			fixture().controlLink(LinkKind.ENTRY_SIDE, side.name(),
					"{\"cut_after_bytes_" + direction + "\":" + bytes + "}");
		}
	}

}
