package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.marjoramgw.ResultCode;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.ManagedProcess;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Proves on the trace of decisions that a top-tier request is never refused or preempted
 * to make room for a lower tier.
 *
 * @author The marjoramgw authors
 */
public class TierPromiseTests extends ProofTests {

	private static final long BURST_MILLIS = 8_000;

	private static final int ANSWER_TOKENS = 60;

	/** Period of a load of about three times the capacity of the two engines. */
	private static final long THREEFOLD_PERIOD_MILLIS = 30;

	/** Refusals for want of room or time. */
	private static final Set<Integer> SHED = Set.of(ResultCode.QUEUE_FULL.number(),
			ResultCode.DEADLINE_UNREACHABLE.number(), ResultCode.DEADLINE_BEFORE_GRANT.number(),
			ResultCode.RETRY_BUDGET_SPENT.number());

	/** Grants and bodies that crossed; the entry asks again. */
	private static final Set<Integer> RACES = Set.of(ResultCode.GRANT_EXPIRED.number(),
			ResultCode.UNKNOWN_RESERVATION.number(), ResultCode.RELEASED.number());

	private static final List<String> ENTRIES = List.of("entry-1", "entry-2");

	@Override
	protected DeploymentPlan plan() {
		return ProofPlan.of(2, 2, 0);
	}

	@Test
	public void burstOfTheLowestClass() throws Exception {
		SteadyLoad lowest = new SteadyLoad(bed(), ENTRIES, ProofConfiguration.LOWEST, ANSWER_TOKENS,
				THREEFOLD_PERIOD_MILLIS);
		SteadyLoad top = new SteadyLoad(bed(), ENTRIES, ProofConfiguration.TOP, ANSWER_TOKENS, 300);
		Thread.sleep(BURST_MILLIS);
		Map<String, CallResult> topAnswers = top.finish();
		lowest.close();
		List<JsonNode> steps = traceOf(topAnswers.values());
		Assert.assertFalse(steps.isEmpty(), "no trace of " + topAnswers.size() + " requests");
		for (JsonNode step : steps) {
			Assert.assertNotEquals(step.path("step").asText(), "preempt", step.toString());
			Assert.assertFalse(SHED.contains(step.path("code").asInt()), "shed: " + step);
		}
		for (CallResult answer : topAnswers.values()) {
			Assert.assertTrue(answer.complete(), answer.toString());
		}
		Map<String, CallResult> lowestAnswers = lowest.finish();
		Assert.assertEquals(SteadyLoad.broken(lowestAnswers), List.of());
		for (ManagedProcess side : deployment().sides()) {
			SlotTrace slots = new SlotTrace(bed(), side, lowestAnswers.values());
			Assert.assertTrue(slots.size() > 0, side.name() + " ran nothing of the burst");
			Assert.assertEquals(slots.takenPastTheTopTier(), List.of(), side.name());
		}
	}

	@Test(dependsOnMethods = "burstOfTheLowestClass")
	public void burstOfTheTopClassAlone() throws Exception {
		SteadyLoad top = new SteadyLoad(bed(), ENTRIES, ProofConfiguration.TOP, ANSWER_TOKENS, THREEFOLD_PERIOD_MILLIS);
		Thread.sleep(BURST_MILLIS);
		Map<String, CallResult> answers = top.finish();
		for (JsonNode step : traceOf(answers.values())) {
			Assert.assertNotEquals(step.path("step").asText(), "preempt", step.toString());
			if (step.path("step").asText().equals("refuse")) {
				Assert.assertTrue(SHED.contains(step.path("code").asInt()) || RACES.contains(step.path("code").asInt()),
						"refused for something else than the own queue or deadline: " + step);
			}
		}
		Assert.assertEquals(SteadyLoad.broken(answers), List.of());
		Assert.assertTrue(answers.values().stream().anyMatch(CallResult::complete));
	}

	private List<JsonNode> traceOf(Iterable<CallResult> answers) throws Exception {
		List<JsonNode> steps = new ArrayList<>();
		for (CallResult answer : answers) {
			for (ManagedProcess side : bed().processes()) {
				bed().explain(side, answer.requestId()).forEach(steps::add);
			}
		}
		return steps;
	}

}
