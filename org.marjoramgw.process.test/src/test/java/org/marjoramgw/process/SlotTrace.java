package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.ManagedProcess;

/**
 * Slots that the requests of one class held at one side process, from its trace of
 * decisions.
 *
 * @author The marjoramgw authors
 */
final class SlotTrace {

	private static final String TOP_TIER_WAITS = " best_tier_waiting=1 ";

	private static final Set<String> TAKE = Set.of("grant", "resume");

	private static final Set<String> FREE = Set.of("end", "preempt", "release", "grant_timeout", "drop");

	private final List<Held> held = new ArrayList<>();

	/**
	 * Reads the trace.
	 * @param bed the deployment
	 * @param side the side process
	 * @param answers answers of the requests of one class
	 * @throws Exception if the side process doesn't answer
	 */
	SlotTrace(ProofBed bed, ManagedProcess side, Iterable<CallResult> answers) throws Exception {
		for (CallResult answer : answers) {
			JsonNode taken = null;
			for (JsonNode step : bed.explain(side, answer.requestId())) {
				if (TAKE.contains(step.path("step").asText())) {
					taken = step;
				}
				else if (taken != null && FREE.contains(step.path("step").asText())) {
					this.held.add(new Held(taken, timeOf(step)));
					taken = null;
				}
			}
		}
	}

	int size() {
		return this.held.size();
	}

	/**
	 * Lists the slots that were taken while a request of the top tier waited and another
	 * request of the class held a slot already, so that no floor below one slot explains
	 * it.
	 * @return the steps that took the slots
	 */
	List<String> takenPastTheTopTier() {
		List<String> past = new ArrayList<>();
		for (Held slot : this.held) {
			boolean topWaits = slot.taken().path("detail").asText().contains(TOP_TIER_WAITS);
			if (topWaits && this.held.stream().anyMatch((other) -> other.covers(timeOf(slot.taken())))) {
				past.add(slot.taken().toString());
			}
		}
		return past;
	}

	private static long timeOf(JsonNode step) {
		return step.path("timeMillis").asLong();
	}

	/**
	 * One slot for a time.
	 *
	 * @param taken step that took it
	 * @param freedMillis when it was freed, in milliseconds
	 */
	private record Held(JsonNode taken, long freedMillis) {

		boolean covers(long timeMillis) {
			return timeOf(this.taken) < timeMillis && timeMillis < this.freedMillis;
		}

	}

}
