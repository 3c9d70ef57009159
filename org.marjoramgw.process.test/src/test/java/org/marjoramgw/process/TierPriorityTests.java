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
 * Tests with the decision trace that a top-tier request is never refused or preempted in
 * favor of a lower tier.
 *
 * @author The marjoramgw authors
 */
public class TierPriorityTests extends AbstractDeploymentTests {

	private static final long BURST_MILLIS = 8_000;

	private static final int ANSWER_TOKENS = 60;

	/** Interval between calls at about three times the capacity of the two engines. */
	private static final long OVERLOAD_INTERVAL_MILLIS = 30;

	/** Codes of refusals for lack of capacity or time. */
	private static final Set<Integer> OVERLOAD_CODES = Set.of(ResultCode.QUEUE_FULL.number(),
			ResultCode.DEADLINE_UNREACHABLE.number(), ResultCode.DEADLINE_BEFORE_GRANT.number(),
			ResultCode.RETRY_BUDGET_SPENT.number());

	/** Codes of races between a grant and its request body; the entry retries. */
	private static final Set<Integer> RACE_CODES = Set.of(ResultCode.GRANT_EXPIRED.number(),
			ResultCode.UNKNOWN_RESERVATION.number(), ResultCode.RELEASED.number());

	private static final List<String> ENTRIES = List.of("entry-1", "entry-2");

	@Override
	protected DeploymentPlan plan() {
		return DeploymentPlans.of(2, 2, 0);
	}

	@Test
	public void burstOfLowestClass() throws Exception {
		SteadyLoad lowest = new SteadyLoad(fixture(), ENTRIES, TestConfiguration.LOWEST_CLASS, ANSWER_TOKENS,
				OVERLOAD_INTERVAL_MILLIS);
		SteadyLoad top = new SteadyLoad(fixture(), ENTRIES, TestConfiguration.TOP_CLASS, ANSWER_TOKENS, 300);
		Thread.sleep(BURST_MILLIS);
		Map<String, CallResult> topAnswers = top.finish();
		lowest.close();
		List<JsonNode> steps = traceOf(topAnswers.values());
		Assert.assertFalse(steps.isEmpty(), "no trace of " + topAnswers.size() + " requests");
		for (JsonNode step : steps) {
			Assert.assertNotEquals(step.path("step").asText(), "preempt", step.toString());
			Assert.assertFalse(OVERLOAD_CODES.contains(step.path("code").asInt()), "refused for overload: " + step);
		}
		for (CallResult answer : topAnswers.values()) {
			Assert.assertTrue(answer.complete(), answer.toString());
		}
		Map<String, CallResult> lowestAnswers = lowest.finish();
		Assert.assertEquals(SteadyLoad.unexpectedAnswers(lowestAnswers), List.of());
		for (ManagedProcess side : deployment().sides()) {
			SlotTrace slots = new SlotTrace(fixture(), side, lowestAnswers.values());
			Assert.assertTrue(slots.size() > 0, side.name() + " ran no request of the burst");
			Assert.assertEquals(slots.acquiredWhileTopTierWaited(), List.of(), side.name());
		}
	}

	@Test(dependsOnMethods = "burstOfLowestClass")
	public void burstOfTopClassAlone() throws Exception {
		SteadyLoad top = new SteadyLoad(fixture(), ENTRIES, TestConfiguration.TOP_CLASS, ANSWER_TOKENS,
				OVERLOAD_INTERVAL_MILLIS);
		Thread.sleep(BURST_MILLIS);
		Map<String, CallResult> answers = top.finish();
		for (JsonNode step : traceOf(answers.values())) {
			Assert.assertNotEquals(step.path("step").asText(), "preempt", step.toString());
			if (step.path("step").asText().equals("refuse")) {
				Assert.assertTrue(
						OVERLOAD_CODES.contains(step.path("code").asInt())
								|| RACE_CODES.contains(step.path("code").asInt()),
						"refused for a reason other than its own queue or deadline: " + step);
			}
		}
		Assert.assertEquals(SteadyLoad.unexpectedAnswers(answers), List.of());
		Assert.assertTrue(answers.values().stream().anyMatch(CallResult::complete));
	}

	private List<JsonNode> traceOf(Iterable<CallResult> answers) throws Exception {
		List<JsonNode> steps = new ArrayList<>();
		for (CallResult answer : answers) {
			for (ManagedProcess side : fixture().processes()) {
				fixture().explain(side, answer.requestId()).forEach(steps::add);
			}
		}
		return steps;
	}

}
