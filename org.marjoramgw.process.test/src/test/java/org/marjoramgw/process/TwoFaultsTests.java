package org.marjoramgw.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

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
 * Proves that the promises hold with two faults at once.
 *
 * @author The marjoramgw authors
 */
public class TwoFaultsTests extends ProofTests {

	private static final long IN_FORCE_MILLIS = 4_000;

	private static final int STREAM_COUNT = 6;

	@Override
	protected DeploymentPlan plan() {
		return ProofPlan.of(3, 3, 2);
	}

	@AfterMethod
	public void heal() throws Exception {
		bed().standins().control(StandinProcess.LOG, "{\"outage\":false}");
		bed().standins().control(StandinProcess.VM_LIST, "{\"outage\":false}");
		for (ManagedProcess side : deployment().sides()) {
			if (side.name().startsWith("runner")) {
				bed().standins().control("engine." + side.name(), "{\"crash_after_tokens\":0}");
			}
			if (!side.isAlive()) {
				side.restart();
			}
		}
		bed().awaitServing();
	}

	@Test
	public void logDownAndSideProcessKilled() throws Exception {
		Map<String, CompletableFuture<CallResult>> calls = startStreams();
		bed().standins().control(StandinProcess.LOG, "{\"outage\":true}");
		String victim = bed().runnerOf(calls.keySet().iterator().next());
		deployment().side(victim).kill();
		deployment().side("orders-1").kill();
		assertWhole(calls);
		String order = "two-" + TestSeed.value() + "-" + System.nanoTime();
		CallResult refused = ProofBed.await(bed().order("entry-1", order, order));
		Assert.assertEquals(refused.outcome(), "not_run", refused.toString());
		Assert.assertEquals(bed().runsOfOrder(order), 0);
		deployment().side(victim).restart();
		deployment().side("orders-1").restart();
		bed().awaitServing();
		bed().standins().control(StandinProcess.LOG, "{\"outage\":false}");
		Await.until("the key is served", () -> ProofBed.await(bed().order("entry-2", order, order)).complete());
		Assert.assertEquals(bed().runsOfOrder(order), 1);
	}

	@Test
	public void failureDomainCutOffDuringAPublish() throws Exception {
		try (RevisionWatch watch = new RevisionWatch(bed())) {
			long base = bed().revision(deployment().entry("entry-1"));
			for (LinkKind kind : List.of(LinkKind.ENTRY_SIDE, LinkKind.PROCESS_TO_LOG, LinkKind.PROCESS_TO_VM_LIST)) {
				bed().link(kind, "runner-3", "{\"mode\":\"swallow\"}");
			}
			deployment().entry("entry-3").freeze();
			bed().standins().control(StandinProcess.LOG, "{\"lose_answers\":1}");
			try (OperatorCommand publish = OperatorCommand.publish(bed().standins().address(StandinProcess.LOG),
					ProofConfiguration.text("cut off"), base, "ana")) {
				Assert.assertEquals(publish.exitCode(), 0, publish.output());
			}
			deployment().entry("entry-3").thaw();
			for (LinkKind kind : List.of(LinkKind.ENTRY_SIDE, LinkKind.PROCESS_TO_LOG, LinkKind.PROCESS_TO_VM_LIST)) {
				bed().link(kind, "runner-3", "{\"mode\":\"cut\"}");
				bed().link(kind, "runner-3", "{\"mode\":\"pass\"}");
			}
			Await.until("the revision is in force everywhere", IN_FORCE_MILLIS, () -> {
				for (ManagedProcess process : bed().processes()) {
					if (bed().revision(process) != base + 1) {
						return false;
					}
				}
				return true;
			});
			Assert.assertEquals(watch.reverts(), List.of());
		}
	}

	@Test
	public void engineCrashAndSilentConnections() throws Exception {
		Map<String, CompletableFuture<CallResult>> calls = startStreams();
		String victim = bed().runnerOf(calls.keySet().iterator().next());
		bed().standins().control("engine." + victim, "{\"crash_after_tokens\":1}");
		for (ManagedProcess side : deployment().sides()) {
			bed().link(LinkKind.ENTRY_SIDE, side.name(), "{\"swallow_existing\":true}");
		}
		assertWhole(calls);
	}

	@Test
	public void vmListDownAndSideProcessKilledAndBack() throws Exception {
		Map<String, CompletableFuture<CallResult>> calls = startStreams();
		bed().standins().control(StandinProcess.VM_LIST, "{\"outage\":true}");
		String victim = bed().runnerOf(calls.keySet().iterator().next());
		deployment().side(victim).kill();
		deployment().side(victim).restart();
		assertWhole(calls);
		bed().awaitServing();
	}

	private Map<String, CompletableFuture<CallResult>> startStreams() throws Exception {
		AtomicInteger tokens = new AtomicInteger();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		for (int count = 0; count < STREAM_COUNT; count++) {
			String prompt = "len=200 two faults " + TestSeed.value() + " " + System.nanoTime();
			calls.put(prompt, bed().chat("entry-" + (1 + count % 3), ProofConfiguration.TOP, prompt,
					(text) -> tokens.incrementAndGet()));
		}
		Await.until("streams flow", () -> tokens.get() > STREAM_COUNT * 10);
		return calls;
	}

	private static void assertWhole(Map<String, CompletableFuture<CallResult>> calls) throws Exception {
		for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
			CallResult answer = ProofBed.await(call.getValue());
			Assert.assertTrue(answer.complete(), answer.toString());
			Assert.assertEquals(answer.text(), ProofBed.expectedAnswer(call.getKey()));
		}
	}

}
