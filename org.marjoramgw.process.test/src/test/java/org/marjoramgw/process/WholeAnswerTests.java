package org.marjoramgw.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

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
 * Proves that each caller gets the whole answer to the own request, byte by byte, when
 * something fails in the middle of the streams.
 *
 * @author The marjoramgw authors
 */
public class WholeAnswerTests extends ProofTests {

	private static final int STREAM_COUNT = 6;

	private static final int ANSWER_TOKENS = 150;

	private static final String HEALED = "{\"mode\":\"pass\",\"delay_ms\":0}";

	private int nextPrompt;

	@Override
	protected DeploymentPlan plan() {
		return ProofPlan.of(2, 3, 0);
	}

	@AfterMethod
	public void heal() throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			bed().standins().control("engine." + side.name(), "{\"crash_after_tokens\":0,\"straggle_factor\":1.0}");
			bed().link(LinkKind.ENTRY_SIDE, side.name(), HEALED);
			bed().link(LinkKind.SIDE_BACKEND, side.name(), HEALED);
			if (!side.isAlive()) {
				side.restart();
			}
		}
		bed().awaitServing();
	}

	/**
	 * Lists the faults; each strikes the backend server that runs the first stream.
	 * @return name and fault
	 */
	@DataProvider
	public Object[][] faults() {
		return new Object[][] { { "engine crashes", fault((side) -> engine(side, "{\"crash_after_tokens\":1}")) },
				{ "side process is killed", fault((side) -> deployment().side(side).kill()) },
				{ "side process is frozen and goes on", fault(this::freezeForAWhile) },
				{ "entries are frozen and go on", fault((side) -> freezeEntries()) },
				{ "link is cut", fault((side) -> peer(side, "{\"mode\":\"cut\"}")) },
				{ "link is cut over and over", fault(this::cutOverAndOver) },
				{ "link is delayed", fault((side) -> peer(side, "{\"delay_ms\":120}")) },
				{ "link is delayed, then cut", fault((side) -> {
					peer(side, "{\"delay_ms\":120}");
					Thread.sleep(300);
					peer(side, "{\"mode\":\"cut\"}");
				}) }, { "link is cut in mid-frame", fault((side) -> peer(side, "{\"cut_after_bytes_down\":333}")) },
				{ "engine link is cut", fault((side) -> engineLink(side, "{\"mode\":\"cut\"}")) },
				{ "engine link is cut in mid-event",
						fault((side) -> engineLink(side, "{\"cut_after_bytes_down\":333}")) } };
	}

	@Test(dataProvider = "faults")
	public void answersAreWholeAfterAFault(String name, Fault fault) throws Exception {
		AtomicInteger tokens = new AtomicInteger();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		for (int count = 0; count < STREAM_COUNT; count++) {
			this.nextPrompt++;
			String prompt = "len=" + ANSWER_TOKENS + " question " + TestSeed.value() + " " + this.nextPrompt;
			String entry = "entry-" + (1 + count % 2);
			calls.put(prompt, bed().chat(entry, ProofConfiguration.TOP, prompt, (text) -> tokens.incrementAndGet()));
		}
		Await.until("streams flow", () -> tokens.get() > STREAM_COUNT * 10);
		String victim = bed().runnerOf(calls.keySet().iterator().next());
		Assert.assertFalse(victim.isEmpty(), "the first stream is over before the fault");
		fault.strike(victim);
		for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
			CallResult answer = ProofBed.await(call.getValue());
			String told = name + " at " + victim + ", seed " + TestSeed.value() + ", " + call.getKey() + ": "
					+ describe(answer);
			Assert.assertTrue(ProofBed.expectedAnswer(call.getKey()).startsWith(answer.text()),
					"foreign or doubled text: " + told);
			Assert.assertTrue(answer.complete(), told);
			Assert.assertEquals(answer.text(), ProofBed.expectedAnswer(call.getKey()), told);
		}
	}

	private String describe(CallResult answer) throws Exception {
		StringBuilder text = new StringBuilder(answer.toString());
		for (ManagedProcess entry : deployment().entries()) {
			text.append('\n').append(entry.name()).append(": ").append(bed().explain(entry, answer.requestId()));
		}
		return text.toString();
	}

	private void engine(String side, String json) throws Exception {
		bed().standins().control("engine." + side, json);
	}

	private void engineLink(String side, String json) throws Exception {
		bed().link(LinkKind.SIDE_BACKEND, side, json);
	}

	private void peer(String side, String json) throws Exception {
		bed().link(LinkKind.ENTRY_SIDE, side, json);
	}

	private void freezeForAWhile(String side) throws Exception {
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

	private void cutOverAndOver(String side) throws Exception {
		for (int count = 0; count < 5; count++) {
			peer(side, "{\"mode\":\"cut\"}");
			Thread.sleep(250);
		}
	}

	private static Fault fault(Fault fault) {
		return fault;
	}

	@FunctionalInterface
	private interface Fault {

		void strike(String side) throws Exception;

	}

}
