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
 * Proves that a call of which the caller is told that it was not run was not run, with
 * the link between entry and side process cut at each message of the exchange.
 *
 * @author The marjoramgw authors
 */
public class NotRunTests extends ProofTests {

	private static final String NOT_RUN = "not_run";

	private static final String HEALED = "{\"mode\":\"pass\",\"delay_ms\":0,\"cut_after_bytes_up\":0,\"cut_after_bytes_down\":0}";

	private int nextOrder;

	@Override
	protected DeploymentPlan plan() {
		return ProofPlan.of(2, 2, 2);
	}

	@AfterMethod
	public void heal() throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			bed().link(LinkKind.ENTRY_SIDE, side.name(), HEALED);
		}
		bed().plainDelay(5);
		bed().awaitServing();
	}

	/**
	 * Lists the cuts: bytes that still pass towards the side processes (reserve, run,
	 * ack, heartbeats between them) and back (grant, chunk, end).
	 * @return the cuts
	 */
	@DataProvider
	public Object[][] cuts() {
		List<Object[]> cuts = new ArrayList<>();
		for (int bytes : new int[] { 1, 20, 60, 90, 120, 160, 200, 240, 280, 320, 380, 450, 550 }) {
			cuts.add(new Object[] { "up", bytes });
		}
		for (int bytes : new int[] { 1, 10, 25, 40, 55, 70, 90, 110, 140, 180, 230, 300 }) {
			cuts.add(new Object[] { "down", bytes });
		}
		return cuts.toArray(new Object[0][]);
	}

	@Test(dataProvider = "cuts")
	public void orderToldNotRunDidNotRun(String way, int bytes) throws Exception {
		cut(way, bytes);
		List<String> orders = new ArrayList<>();
		List<CompletableFuture<CallResult>> calls = new ArrayList<>();
		for (int count = 0; count < 6; count++) {
			this.nextOrder++;
			String order = "order-" + TestSeed.value() + "-" + this.nextOrder;
			orders.add(order);
			calls.add(bed().order("entry-" + (1 + count % 2), order, ""));
		}
		for (int index = 0; index < calls.size(); index++) {
			CallResult answer = ProofBed.await(calls.get(index));
			int runs = bed().runsOfOrder(orders.get(index));
			String told = way + " " + bytes + ": " + orders.get(index) + " ran " + runs + " times, told " + answer;
			Assert.assertTrue(runs <= 1, told);
			Assert.assertTrue(!answer.outcome().equals(NOT_RUN) || runs == 0, told);
			Assert.assertTrue(!answer.complete() || runs == 1, told);
		}
	}

	/**
	 * The side processes stay away for longer than an answer waits for them, while the
	 * orders run on at the plain services.
	 */
	@Test
	public void runningOrderIsNeverToldNotRun() throws Exception {
		bed().plainDelay(2_500);
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		for (int count = 0; count < 6; count++) {
			this.nextOrder++;
			String order = "away-" + TestSeed.value() + "-" + this.nextOrder;
			calls.put(order, bed().order("entry-" + (1 + count % 2), order, ""));
		}
		for (String order : calls.keySet()) {
			Await.until(order + " runs", () -> bed().runsOfOrder(order) == 1);
		}
		for (BackendPlan backend : bed().backends(ServiceKind.PLAIN)) {
			bed().link(LinkKind.ENTRY_SIDE, backend.name(), "{\"mode\":\"refuse\"}");
		}
		for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
			CallResult answer = ProofBed.await(call.getValue());
			Assert.assertEquals(answer.outcome(), "unknown", call.getKey() + " was told " + answer);
			Assert.assertEquals(bed().runsOfOrder(call.getKey()), 1, call.getKey() + " was told " + answer);
		}
	}

	@Test(dataProvider = "cuts")
	public void generationToldNotRunDidNotRun(String way, int bytes) throws Exception {
		cut(way, bytes);
		List<String> prompts = new ArrayList<>();
		List<CompletableFuture<CallResult>> calls = new ArrayList<>();
		for (int count = 0; count < 4; count++) {
			this.nextOrder++;
			String prompt = "len=5 question " + TestSeed.value() + " " + this.nextOrder;
			prompts.add(prompt);
			calls.add(bed().chat("entry-" + (1 + count % 2), ProofConfiguration.TOP, prompt));
		}
		for (int index = 0; index < calls.size(); index++) {
			CallResult answer = ProofBed.await(calls.get(index));
			int runs = bed().runsOfPrompt(prompts.get(index));
			String told = way + " " + bytes + ": " + prompts.get(index) + " ran " + runs + " times, told " + answer;
			Assert.assertTrue(!answer.outcome().equals(NOT_RUN) || runs == 0, told);
			Assert.assertTrue(!answer.complete() || answer.text().equals(ProofBed.expectedAnswer(prompts.get(index))),
					told);
		}
	}

	private void cut(String way, int bytes) throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			bed().link(LinkKind.ENTRY_SIDE, side.name(), "{\"cut_after_bytes_" + way + "\":" + bytes + "}");
		}
	}

}
