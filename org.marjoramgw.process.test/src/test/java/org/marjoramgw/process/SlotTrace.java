package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.ManagedProcess;

/**
 * Slots that the requests of one class held at one side process, read from its decision
 * trace.
 *
 * @author The marjoramgw authors
 */
final class SlotTrace {

	private static final String TOP_TIER_WAITING = " best_tier_waiting=1 ";

	private static final Set<String> ACQUIRE_STEPS = Set.of("grant", "resume");

	private static final Set<String> RELEASE_STEPS = Set.of("end", "preempt", "release", "grant_timeout", "drop");

	private final List<HeldSlot> heldSlots = new ArrayList<>();

	/**
	 * Reads the trace.
	 * @param fixture the deployment
	 * @param side the side process
	 * @param answers answers of the requests of one class
	 * @throws Exception if the side process doesn't answer
	 */
	SlotTrace(DeploymentFixture fixture, ManagedProcess side, Iterable<CallResult> answers) throws Exception {
		for (CallResult answer : answers) {
			JsonNode acquired = null;
			for (JsonNode step : fixture.explain(side, answer.requestId())) {
				if (ACQUIRE_STEPS.contains(step.path("step").asText())) {
					acquired = step;
				}
				else if (acquired != null && RELEASE_STEPS.contains(step.path("step").asText())) {
					this.heldSlots.add(new HeldSlot(acquired, timeOf(step)));
					acquired = null;
				}
			}
		}
	}

	int size() {
		return this.heldSlots.size();
	}

	/**
	 * Lists the slots that were acquired while a request of the top tier waited and
	 * another request of the class already held a slot. A floor of less than one slot
	 * doesn't permit this.
	 * @return trace steps that acquired the slots
	 */
	List<String> acquiredWhileTopTierWaited() {
		List<String> steps = new ArrayList<>();
		for (HeldSlot slot : this.heldSlots) {
			boolean topTierWaiting = slot.acquireStep().path("detail").asText().contains(TOP_TIER_WAITING);
			if (topTierWaiting
					&& this.heldSlots.stream().anyMatch((other) -> other.isHeldAt(timeOf(slot.acquireStep())))) {
				steps.add(slot.acquireStep().toString());
			}
		}
		return steps;
	}

	private static long timeOf(JsonNode step) {
		return step.path("timeMillis").asLong();
	}

	/**
	 * A slot held by one request.
	 *
	 * @param acquireStep trace step that acquired the slot
	 * @param releasedMillis time of its release, in milliseconds
	 */
	private record HeldSlot(JsonNode acquireStep, long releasedMillis) {

		boolean isHeldAt(long timeMillis) {
			return timeOf(this.acquireStep) < timeMillis && timeMillis < this.releasedMillis;
		}

	}

}
