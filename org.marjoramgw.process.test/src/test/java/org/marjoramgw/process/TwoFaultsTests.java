package org.marjoramgw.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.LinkKind;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.StandinProcess;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Tests that answers stay complete, orders run at most once and configuration revisions
 * never regress with two simultaneous faults.
 *
 * @author The marjoramgw authors
 */
public class TwoFaultsTests extends AbstractDeploymentTests {

	private static final long PROPAGATION_LIMIT_MILLIS = 4_000;

	private static final int STREAM_COUNT = 6;

	@Override
	protected DeploymentPlan plan() {
		return DeploymentPlans.of(3, 3, 2);
	}

	@AfterMethod
	public void clearFaults() throws Exception {
		fixture().standins().control(StandinProcess.LOG, "{\"outage\":false}");
		fixture().standins().control(StandinProcess.VM_LIST, "{\"outage\":false}");
		for (ManagedProcess side : deployment().sides()) {
			if (side.name().startsWith("runner")) {
				fixture().standins().control("engine." + side.name(), "{\"crash_after_tokens\":0}");
			}
			if (!side.isAlive()) {
				side.restart();
			}
		}
		fixture().awaitServing();
	}

	@Test
	public void logDownAndSideProcessKilled() throws Exception {
		Map<String, CompletableFuture<CallResult>> calls = startStreams();
		fixture().standins().control(StandinProcess.LOG, "{\"outage\":true}");
		String victim = fixture().runnerOf(calls.keySet().iterator().next());
		deployment().side(victim).kill();
		deployment().side("orders-1").kill();
		assertComplete(calls);
		String order = "two-" + TestSeed.value() + "-" + System.nanoTime();
		CallResult refused = DeploymentFixture.await(fixture().order("entry-1", order, order));
		Assert.assertEquals(refused.outcome(), "not_run", refused.toString());
		Assert.assertEquals(fixture().runsOfOrder(order), 0);
		deployment().side(victim).restart();
		deployment().side("orders-1").restart();
		fixture().awaitServing();
		fixture().standins().control(StandinProcess.LOG, "{\"outage\":false}");
		Await.until("an order with the key succeeds",
				() -> DeploymentFixture.await(fixture().order("entry-2", order, order)).complete());
		Assert.assertEquals(fixture().runsOfOrder(order), 1);
	}

	@Test
	public void failureDomainIsolatedDuringPublish() throws Exception {
		try (RevisionMonitor watch = new RevisionMonitor(fixture())) {
			long base = fixture().revision(deployment().entry("entry-1"));
			for (LinkKind kind : List.of(LinkKind.ENTRY_SIDE, LinkKind.PROCESS_TO_LOG, LinkKind.PROCESS_TO_VM_LIST)) {
				fixture().controlLink(kind, "runner-3", "{\"mode\":\"swallow\"}");
			}
			deployment().entry("entry-3").freeze();
			fixture().standins().control(StandinProcess.LOG, "{\"lose_answers\":1}");
			try (OperatorCommand publish = OperatorCommand.publish(fixture().standins().address(StandinProcess.LOG),
					TestConfiguration.text("cut off"), base, "ana")) {
				Assert.assertEquals(publish.exitCode(), 0, publish.output());
			}
			deployment().entry("entry-3").thaw();
			for (LinkKind kind : List.of(LinkKind.ENTRY_SIDE, LinkKind.PROCESS_TO_LOG, LinkKind.PROCESS_TO_VM_LIST)) {
				fixture().controlLink(kind, "runner-3", "{\"mode\":\"cut\"}");
				fixture().controlLink(kind, "runner-3", "{\"mode\":\"pass\"}");
			}
			Await.until("the revision is in force everywhere", PROPAGATION_LIMIT_MILLIS, () -> {
				for (ManagedProcess process : fixture().processes()) {
					if (fixture().revision(process) != base + 1) {
						return false;
					}
				}
				return true;
			});
			Assert.assertEquals(watch.regressions(), List.of());
		}
	}

	@Test
	public void engineCrashAndSilentConnections() throws Exception {
		Map<String, CompletableFuture<CallResult>> calls = startStreams();
		String victim = fixture().runnerOf(calls.keySet().iterator().next());
		fixture().standins().control("engine." + victim, "{\"crash_after_tokens\":1}");
		for (ManagedProcess side : deployment().sides()) {
			fixture().controlLink(LinkKind.ENTRY_SIDE, side.name(), "{\"swallow_existing\":true}");
		}
		assertComplete(calls);
	}

	@Test
	public void vmListDownAndSideProcessRestarted() throws Exception {
		Map<String, CompletableFuture<CallResult>> calls = startStreams();
		fixture().standins().control(StandinProcess.VM_LIST, "{\"outage\":true}");
		String victim = fixture().runnerOf(calls.keySet().iterator().next());
		deployment().side(victim).kill();
		deployment().side(victim).restart();
		assertComplete(calls);
		fixture().awaitServing();
	}

	private Map<String, CompletableFuture<CallResult>> startStreams() throws Exception {
		StreamProgress progress = new StreamProgress();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		for (int count = 0; count < STREAM_COUNT; count++) {
			String prompt = "len=200 two faults " + TestSeed.value() + " " + System.nanoTime();
			calls.put(prompt,
					fixture().chat("entry-" + (1 + count % 3), TestConfiguration.TOP_CLASS, prompt, progress.add()));
		}
		progress.awaitTokens(STREAM_COUNT * 10);
		return calls;
	}

	private static void assertComplete(Map<String, CompletableFuture<CallResult>> calls) throws Exception {
		for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
			CallResult answer = DeploymentFixture.await(call.getValue());
			Assert.assertTrue(answer.complete(), answer.toString());
			Assert.assertEquals(answer.text(), DeploymentFixture.expectedAnswer(call.getKey()));
		}
	}

}
