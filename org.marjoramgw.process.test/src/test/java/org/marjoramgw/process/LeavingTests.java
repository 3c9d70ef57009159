package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.StandinProcess;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.vmlist.Vm;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Proves that a backend server which is leaving receives no new work later than 3 s
 * after, while what it runs goes on to its end.
 *
 * @author The marjoramgw authors
 */
public class LeavingTests extends ProofTests {

	private static final long BOUND_MILLIS = 3_000;

	private static final int LONG_ANSWER_TOKENS = 700;

	private static final int LONG_COUNT = 4;

	@Override
	protected DeploymentPlan plan() {
		return ProofPlan.of(2, 3, 0);
	}

	@AfterMethod
	public void heal() throws Exception {
		bed().standins().control(StandinProcess.VM_LIST, "{\"outage\":false}");
		for (ManagedProcess side : deployment().sides()) {
			deployment().registerSide(side.name(), Vm.LIVE);
		}
		Await.until("readers of the VM list see all live",
				() -> !bed().platform(StandinProcess.VM_LIST, "/vms").toString().contains(Vm.LEAVING));
		for (ManagedProcess side : deployment().sides()) {
			if (isLeaving(side)) {
				side.close();
				side.restart();
			}
		}
		bed().awaitServing();
	}

	/**
	 * Lists the ways to tell a backend server that it leaves.
	 * @return name, whether the VM list is down for all, and the way
	 */
	@DataProvider
	public Object[][] ways() {
		return new Object[][] { { "VM list", false, way((side) -> deployment().registerSide(side, Vm.LEAVING)) },
				{ "drain", false, way((side) -> bed().drain(deployment().side(side))) },
				{ "SIGTERM", false, way((side) -> deployment().side(side).terminate()) },
				{ "drain, VM list down", true, way((side) -> bed().drain(deployment().side(side))) },
				{ "SIGTERM, VM list down", true, way((side) -> deployment().side(side).terminate()) } };
	}

	@Test(dataProvider = "ways")
	public void noNewWorkAfterThreeSeconds(String name, boolean vmListDown, Way way) throws Exception {
		if (vmListDown) {
			bed().standins().control(StandinProcess.VM_LIST, "{\"outage\":true}");
		}
		Map<String, CompletableFuture<CallResult>> longCalls = startLongCalls();
		String victim = bed().runnerOf(longCalls.keySet().iterator().next());
		Assert.assertFalse(victim.isEmpty(), "the long call is over already");
		SteadyLoad load = new SteadyLoad(bed(), List.of("entry-1", "entry-2"), ProofConfiguration.DRAFT, 10, 60);
		Thread.sleep(500);
		long leaveMillis = System.currentTimeMillis();
		way.leave(victim);
		Thread.sleep(BOUND_MILLIS + 1_500);
		Map<String, CallResult> answers = load.finish();
		Assert.assertEquals(startedLaterThan(victim, leaveMillis + BOUND_MILLIS), List.of(), name + " of " + victim);
		Assert.assertEquals(SteadyLoad.broken(answers), List.of(), name + " of " + victim);
		for (Map.Entry<String, CompletableFuture<CallResult>> call : longCalls.entrySet()) {
			CallResult answer = ProofBed.await(call.getValue());
			Assert.assertTrue(answer.complete(), name + " of " + victim + " cut off " + answer);
			Assert.assertEquals(answer.text(), ProofBed.expectedAnswer(call.getKey()));
		}
	}

	private boolean isLeaving(ManagedProcess side) {
		try {
			return !side.isAlive() || bed().status(side).path("leaving").asBoolean();
		}
		catch (Exception ex) {
			return true;
		}
	}

	private Map<String, CompletableFuture<CallResult>> startLongCalls() throws Exception {
		AtomicInteger tokens = new AtomicInteger();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		for (int count = 0; count < LONG_COUNT; count++) {
			String prompt = "len=" + LONG_ANSWER_TOKENS + " long " + TestSeed.value() + " " + System.nanoTime();
			calls.put(prompt, bed().chat("entry-" + (1 + count % 2), ProofConfiguration.TOP, prompt,
					(text) -> tokens.incrementAndGet()));
		}
		Await.until("long calls flow", () -> tokens.get() > LONG_COUNT * 5);
		return calls;
	}

	private List<String> startedLaterThan(String side, long millis) throws Exception {
		List<String> late = new ArrayList<>();
		for (JsonNode execution : bed().standins().executions("engine." + side)) {
			if (execution.path("started_ms").asLong() > millis) {
				late.add(execution.toString());
			}
		}
		return late;
	}

	private static Way way(Way way) {
		return way;
	}

	@FunctionalInterface
	private interface Way {

		void leave(String side) throws Exception;

	}

}
