package org.marjoramgw.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

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
 * Tests that each caller receives the complete answer to its own request, byte for byte,
 * after a fault in the middle of the streams.
 *
 * @author The marjoramgw authors
 */
public class AnswerIntegrityTests extends AbstractDeploymentTests {

	private static final int STREAM_COUNT = 6;

	private static final int ANSWER_TOKENS = 150;

	private static final String NO_FAULT = "{\"mode\":\"pass\",\"delay_ms\":0}";

	private int promptCount;

	@Override
	protected DeploymentPlan plan() {
		return DeploymentPlans.of(2, 3, 0);
	}

	@AfterMethod
	public void clearFaults() throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			fixture().standins().control("engine." + side.name(), "{\"crash_after_tokens\":0,\"straggle_factor\":1.0}");
			fixture().controlLink(LinkKind.ENTRY_SIDE, side.name(), NO_FAULT);
			fixture().controlLink(LinkKind.SIDE_BACKEND, side.name(), NO_FAULT);
			if (!side.isAlive()) {
				side.restart();
			}
		}
		fixture().awaitServing();
	}

	/**
	 * Lists the faults, each injected at the backend server that runs the first stream.
	 * @return name and fault
	 */
	@DataProvider
	public Object[][] faults() {
		return new Object[][] {
				{ "engine crashes", fault((side) -> controlEngine(side, "{\"crash_after_tokens\":1}")) },
				{ "side process is killed", fault((side) -> deployment().side(side).kill()) },
				{ "side process is frozen and resumes", fault(this::freezeTemporarily) },
				{ "entries are frozen and resume", fault((side) -> freezeEntries()) },
				{ "link is cut", fault((side) -> controlPeerLink(side, "{\"mode\":\"cut\"}")) },
				{ "link is cut repeatedly", fault(this::cutRepeatedly) },
				{ "link is delayed", fault((side) -> controlPeerLink(side, "{\"delay_ms\":120}")) },
				{ "link is delayed, then cut", fault((side) -> {
					controlPeerLink(side, "{\"delay_ms\":120}");
					Thread.sleep(300);
					controlPeerLink(side, "{\"mode\":\"cut\"}");
				}) },
				{ "link is cut within a frame",
						fault((side) -> controlPeerLink(side, "{\"cut_after_bytes_down\":333}")) },
				{ "engine link is cut", fault((side) -> controlEngineLink(side, "{\"mode\":\"cut\"}")) },
				{ "engine link is cut within an event",
						fault((side) -> controlEngineLink(side, "{\"cut_after_bytes_down\":333}")) } };
	}

	@Test(dataProvider = "faults")
	public void answersAreCompleteAfterFault(String name, Fault fault) throws Exception {
		StreamProgress progress = new StreamProgress();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		for (int count = 0; count < STREAM_COUNT; count++) {
			this.promptCount++;
			String prompt = "len=" + ANSWER_TOKENS + " question " + TestSeed.value() + " " + this.promptCount;
			String entry = "entry-" + (1 + count % 2);
			calls.put(prompt, fixture().chat(entry, TestConfiguration.TOP_CLASS, prompt, progress.add()));
		}
		progress.awaitTokens(STREAM_COUNT * 10);
		String victim = fixture().runnerOf(calls.keySet().iterator().next());
		Assert.assertFalse(victim.isEmpty(), "the first stream ended before the fault");
		fault.inject(victim);
		for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
			CallResult answer = DeploymentFixture.await(call.getValue());
			String details = name + " at " + victim + ", seed " + TestSeed.value() + ", " + call.getKey() + ": "
					+ describe(answer);
			Assert.assertTrue(DeploymentFixture.expectedAnswer(call.getKey()).startsWith(answer.text()),
					"text of another answer or duplicated text: " + details);
			Assert.assertTrue(answer.complete(), details);
			Assert.assertEquals(answer.text(), DeploymentFixture.expectedAnswer(call.getKey()), details);
		}
	}

	private String describe(CallResult answer) throws Exception {
		StringBuilder text = new StringBuilder(answer.toString());
		for (ManagedProcess entry : deployment().entries()) {
			text.append('\n').append(entry.name()).append(": ").append(fixture().explain(entry, answer.requestId()));
		}
		return text.toString();
	}

	private void controlEngine(String side, String json) throws Exception {
		fixture().standins().control("engine." + side, json);
	}

	private void controlEngineLink(String side, String json) throws Exception {
		fixture().controlLink(LinkKind.SIDE_BACKEND, side, json);
	}

	private void controlPeerLink(String side, String json) throws Exception {
		fixture().controlLink(LinkKind.ENTRY_SIDE, side, json);
	}

	private void freezeTemporarily(String side) throws Exception {
		deployment().side(side).freeze();
		Thread.sleep(2_500);
		deployment().side(side).thaw();
	}

	private void freezeEntries() throws Exception {
		for (ManagedProcess entry : deployment().entries()) {
			entry.freeze();
		}
		Thread.sleep(2_500);
		for (ManagedProcess entry : deployment().entries()) {
			entry.thaw();
		}
	}

	private void cutRepeatedly(String side) throws Exception {
		for (int count = 0; count < 5; count++) {
			controlPeerLink(side, "{\"mode\":\"cut\"}");
			Thread.sleep(250);
		}
	}

	private static Fault fault(Fault fault) {
		return fault;
	}

	@FunctionalInterface
	private interface Fault {

		void inject(String side) throws Exception;

	}

}
