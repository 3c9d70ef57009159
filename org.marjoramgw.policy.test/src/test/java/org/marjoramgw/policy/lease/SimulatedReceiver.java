package org.marjoramgw.policy.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.policy.usage.WindowCounts;

/**
 * Simulated receiver of reports, which checks what the platform prices.
 *
 * @author The marjoramgw authors
 */
final class SimulatedReceiver {

	private final Map<Long, WindowCounts> accepted = new HashMap<>();

	private final Map<Long, String> holders = new HashMap<>();

	private final List<Act> acts = new ArrayList<>();

	private final List<String> violations = new ArrayList<>();

	private final long leaseMillis;

	private long highestToken = -1;

	SimulatedReceiver(long leaseMillis) {
		this.leaseMillis = leaseMillis;
	}

	/**
	 * Notes that a holder sends a call.
	 * @param process its id
	 * @param token its token
	 * @param timeMillis when it sends it
	 */
	void onSent(String process, long token, long timeMillis) {
		String other = this.holders.putIfAbsent(token, process);
		if (other != null && !other.equals(process)) {
			this.violations.add("token " + token + " of " + other + " and " + process);
		}
		String between = null;
		for (int index = this.acts.size() - 1; index >= 0
				&& timeMillis - this.acts.get(index).timeMillis < this.leaseMillis; index--) {
			Act act = this.acts.get(index);
			if (!act.process.equals(process)) {
				between = act.process;
			}
			else if (between != null) {
				this.violations.add(process + ", " + between + ", " + process + " at " + timeMillis);
				break;
			}
		}
		this.acts.add(new Act(process, timeMillis));
	}

	/**
	 * Executes a call.
	 * @param token token of the call
	 * @param report the report
	 * @return whether it is accepted; otherwise a higher token was seen
	 */
	boolean execute(long token, WindowCounts report) {
		if (token < this.highestToken) {
			return false;
		}
		this.highestToken = token;
		WindowCounts earlier = this.accepted.putIfAbsent(report.window(), report);
		if (earlier != null && !earlier.equals(report)) {
			this.violations.add("two contents of window " + report.window());
		}
		return true;
	}

	void onViolation(String violation) {
		this.violations.add(violation);
	}

	List<String> violations() {
		return this.violations;
	}

	boolean hasAccepted(long window) {
		return this.accepted.containsKey(window);
	}

	int holderCount() {
		return this.holders.size();
	}

	/** Call of a holder. */
	private record Act(String process, long timeMillis) {
	}

}
