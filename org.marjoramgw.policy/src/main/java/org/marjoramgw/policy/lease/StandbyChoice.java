package org.marjoramgw.policy.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Chooses the processes that observe the lease continuously, so that one of them takes
 * over soon when the holder is lost. Not thread-safe.
 * <p>
 * They are in other failure domains than the holder as far as possible, and are kept
 * while they show signs of life.
 *
 * @author The marjoramgw authors
 */
public final class StandbyChoice {

	/** Each standby makes a call for each renewal, so they are few. */
	private static final int STANDBYS = 2;

	/** Windows without counts after which a process is regarded as gone. */
	private static final int MAX_SILENT_WINDOWS = 3;

	private final String process;

	private final String failureDomain;

	private final Random random;

	private final Map<String, Member> members = new HashMap<>();

	private List<String> chosen = List.of();

	private long latestWindow = Long.MIN_VALUE;

	/**
	 * Creates a choice.
	 * @param process id of this process, the holder
	 * @param failureDomain its failure domain
	 * @param random source of randomness
	 */
	public StandbyChoice(String process, String failureDomain, Random random) {
		this.process = process;
		this.failureDomain = failureDomain;
		this.random = random;
	}

	/**
	 * Notes that a process has shared its counts.
	 * @param member id of the process
	 * @param domain its failure domain
	 * @param window number of the window
	 */
	public void onSeen(String member, String domain, long window) {
		this.latestWindow = Math.max(this.latestWindow, window);
		Member known = this.members.get(member);
		if (!member.equals(this.process) && (known == null || known.window < window)) {
			this.members.put(member, new Member(domain, window));
		}
	}

	/**
	 * Chooses standbys.
	 * @return ids of the processes
	 */
	public List<String> choose() {
		this.members.values().removeIf((member) -> member.window < this.latestWindow - MAX_SILENT_WINDOWS);
		if (this.chosen.size() == STANDBYS && this.members.keySet().containsAll(this.chosen)) {
			return this.chosen;
		}
		List<String> kept = new ArrayList<>(this.chosen);
		kept.retainAll(this.members.keySet());
		while (kept.size() < Math.min(STANDBYS, this.members.size())) {
			kept.add(best(kept));
		}
		this.chosen = List.copyOf(kept);
		return this.chosen;
	}

	private String best(List<String> taken) {
		List<String> domains = new ArrayList<>(List.of(this.failureDomain));
		taken.forEach((name) -> domains.add(this.members.get(name).domain));
		String best = "";
		double bestScore = Double.NEGATIVE_INFINITY;
		for (Map.Entry<String, Member> member : this.members.entrySet()) {
			double score = this.random.nextDouble() - (domains.contains(member.getValue().domain) ? 1 : 0);
			if (!taken.contains(member.getKey()) && score > bestScore) {
				bestScore = score;
				best = member.getKey();
			}
		}
		return best;
	}

	/** What is known of a process. */
	private record Member(String domain, long window) {
	}

}
