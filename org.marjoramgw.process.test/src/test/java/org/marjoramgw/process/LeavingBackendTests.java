package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

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
 * Tests that a backend server receives no new work later than 3 s after it starts
 * leaving, and that the requests in flight at it complete.
 *
 * @author The marjoramgw authors
 */
public class LeavingBackendTests extends AbstractDeploymentTests {

	private static final long NEW_WORK_LIMIT_MILLIS = 3_000;

	private static final int LONG_ANSWER_TOKENS = 700;

	private static final int LONG_CALL_COUNT = 4;

	@Override
	protected DeploymentPlan plan() {
		return DeploymentPlans.of(2, 3, 0);
	}

	@AfterMethod
	public void clearFaults() throws Exception {
		fixture().standins().control(StandinProcess.VM_LIST, "{\"outage\":false}");
		for (ManagedProcess side : deployment().sides()) {
			deployment().registerSide(side.name(), Vm.LIVE);
		}
		Await.until("the VM list shows every VM as live",
				() -> !fixture().platformJson(StandinProcess.VM_LIST, "/vms").toString().contains(Vm.LEAVING));
		for (ManagedProcess side : deployment().sides()) {
			if (isLeaving(side)) {
				side.close();
				side.restart();
			}
		}
		fixture().awaitServing();
	}

	/**
	 * Lists the triggers that make a backend server leave.
	 * @return name, whether the VM list is down for every process, and the trigger
	 */
	@DataProvider
	public Object[][] leaveTriggers() {
		return new Object[][] { { "VM list", false, trigger((side) -> deployment().registerSide(side, Vm.LEAVING)) },
				{ "drain", false, trigger((side) -> fixture().drain(deployment().side(side))) },
				{ "SIGTERM", false, trigger((side) -> deployment().side(side).terminate()) },
				{ "drain, VM list down", true, trigger((side) -> fixture().drain(deployment().side(side))) },
				{ "SIGTERM, VM list down", true, trigger((side) -> deployment().side(side).terminate()) } };
	}

	@Test(dataProvider = "leaveTriggers")
	public void noNewWorkThreeSecondsAfterLeaving(String name, boolean vmListDown, LeaveTrigger trigger)
			throws Exception {
		if (vmListDown) {
			fixture().standins().control(StandinProcess.VM_LIST, "{\"outage\":true}");
		}
		Map<String, CompletableFuture<CallResult>> longCalls = startLongCalls();
		String victim = fixture().runnerOf(longCalls.keySet().iterator().next());
		Assert.assertFalse(victim.isEmpty(), "the long call ended before the server started leaving");
		SteadyLoad load = new SteadyLoad(fixture(), List.of("entry-1", "entry-2"), TestConfiguration.DRAFT_CLASS, 10,
				60);
		Thread.sleep(500);
		long leaveMillis = System.currentTimeMillis();
		trigger.trigger(victim);
		Thread.sleep(NEW_WORK_LIMIT_MILLIS + 1_500);
		Map<String, CallResult> answers = load.finish();
		Assert.assertEquals(executionsStartedAfter(victim, leaveMillis + NEW_WORK_LIMIT_MILLIS), List.of(),
				name + " of " + victim);
		Assert.assertEquals(SteadyLoad.unexpectedAnswers(answers), List.of(), name + " of " + victim);
		for (Map.Entry<String, CompletableFuture<CallResult>> call : longCalls.entrySet()) {
			CallResult answer = DeploymentFixture.await(call.getValue());
			Assert.assertTrue(answer.complete(), name + " of " + victim + " cut off " + answer);
			Assert.assertEquals(answer.text(), DeploymentFixture.expectedAnswer(call.getKey()));
		}
	}

	private boolean isLeaving(ManagedProcess side) {
		try {
			return !side.isAlive() || fixture().status(side).path("leaving").asBoolean();
		}
		catch (Exception ex) {
			return true;
		}
	}

	private Map<String, CompletableFuture<CallResult>> startLongCalls() throws Exception {
		StreamProgress progress = new StreamProgress();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		for (int count = 0; count < LONG_CALL_COUNT; count++) {
			String prompt = "len=" + LONG_ANSWER_TOKENS + " long " + TestSeed.value() + " " + System.nanoTime();
			calls.put(prompt,
					fixture().chat("entry-" + (1 + count % 2), TestConfiguration.TOP_CLASS, prompt, progress.add()));
		}
		progress.awaitTokens(LONG_CALL_COUNT * 5);
		return calls;
	}

	private List<String> executionsStartedAfter(String side, long millis) throws Exception {
		List<String> executions = new ArrayList<>();
		for (JsonNode execution : fixture().standins().executions("engine." + side)) {
			if (execution.path("started_ms").asLong() > millis) {
				executions.add(execution.toString());
			}
		}
		return executions;
	}

	private static LeaveTrigger trigger(LeaveTrigger trigger) {
		return trigger;
	}

	@FunctionalInterface
	private interface LeaveTrigger {

		void trigger(String side) throws Exception;

	}

}
