package org.marjoramgw.policy.quarantine;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Recent crashes of backend servers and the prompt parts that may have caused them. Not
 * thread-safe.
 * <p>
 * A part is the culprit if several crashes at different moments, under different prompts,
 * have it in common, and no answer to a prompt with it has begun meanwhile. Requests that
 * were only at the wrong server have parts that later answers clear.
 *
 * @author The marjoramgw authors
 */
final class CrashLedger {

	/** Crashes of different servers that a culprit must have in common. */
	static final int MIN_CRASHES = 3;

	/** The same, if answers to the prompts were not about to begin. */
	static final int MIN_CRASHES_UNANSWERED = 4;

	/** Crashes at which an answer was about to begin that make the difference. */
	static final int MIN_ANSWERING = 2;

	/**
	 * Number of other crashes for which a culprit must have one more crash in common:
	 * where servers crash for reasons of their own, chance accuses more parts.
	 */
	static final int OTHER_CRASHES = 3;

	/**
	 * The same, if answers to the prompts were not about to begin. A sound part in
	 * frequent use is open at most crashes of all servers; with 3 as above, one
	 * simulation in 70 of such crashes convicted one.
	 */
	static final int OTHER_CRASHES_UNANSWERED = 1;

	/**
	 * Crashes of different servers that a culprit must have in common to be convicted
	 * while few other prompts are answered: the answer to one of its prompts was about to
	 * begin at each of them, and no other server crashed meanwhile.
	 */
	static final int MIN_CRASHES_STRONG = 5;

	/** Different prompts in which a culprit must have been seen. */
	static final int MIN_PROMPTS = 2;

	/** Servers that crash within this time may have a common cause. */
	static final long MIN_SPACING_MILLIS = 300;

	/** Crashes that tell two parts of the same prompts apart. */
	static final int MIN_SEPARATE_CRASHES = 2;

	static final long MAX_AGE_MILLIS = 120_000;

	static final int MAX_CRASHES = 128;

	/** Witnesses of one crash. */
	static final int MAX_WITNESSES = 64;

	private final Map<String, Crash> crashByServer = new LinkedHashMap<>();

	/**
	 * Adds a report. Repeated reports of a crash count once.
	 * @param report the report
	 * @param nowMillis present time, in milliseconds
	 */
	void add(CrashReport report, long nowMillis) {
		expire(nowMillis);
		long crashedAtMillis = nowMillis - Math.max(0, report.ageMillis());
		Crash crash = this.crashByServer.computeIfAbsent(report.server(),
				(server) -> new Crash(server, crashedAtMillis));
		crash.atMillis = Math.min(crash.atMillis, crashedAtMillis);
		for (Witness witness : report.witnesses()) {
			crash.add(witness);
		}
		if (this.crashByServer.size() > MAX_CRASHES) {
			removeOldest();
		}
	}

	/**
	 * Clears a part of all crashes so far.
	 * @param part the part
	 */
	void clear(PromptPartKey part) {
		this.crashByServer.values().forEach((crash) -> crash.clear(part));
	}

	/**
	 * Removes a crash.
	 * @param server incarnation of the server
	 */
	void remove(String server) {
		this.crashByServer.remove(server);
	}

	/**
	 * Removes the crashes that a part has caused, so that they accuse no other part.
	 * @param part the culprit
	 * @return the servers that crashed
	 */
	List<String> removeCrashesOf(PromptPartKey part) {
		List<String> servers = this.crashByServer.values()
			.stream()
			.filter((crash) -> crash.accuses(part))
			.map((crash) -> crash.server)
			.toList();
		servers.forEach(this.crashByServer::remove);
		return servers;
	}

	/**
	 * Tells whether a part is accused of a crash.
	 * @param part the part
	 * @return whether it is
	 */
	boolean isAccused(PromptPartKey part) {
		return this.crashByServer.values().stream().anyMatch((crash) -> crash.accuses(part));
	}

	/**
	 * Tells whether there are crashes.
	 * @return whether there are none
	 */
	boolean isEmpty() {
		return this.crashByServer.isEmpty();
	}

	/**
	 * Removes crashes that are too old.
	 * @param nowMillis present time, in milliseconds
	 */
	void expire(long nowMillis) {
		this.crashByServer.values().removeIf((crash) -> nowMillis - crash.atMillis > MAX_AGE_MILLIS);
	}

	/**
	 * Returns the number of crashes of which a part is accused.
	 * @param part the part
	 * @return the number of crashes
	 */
	int crashCount(PromptPartKey part) {
		return (int) this.crashByServer.values().stream().filter((crash) -> crash.accuses(part)).count();
	}

	/**
	 * Finds the part that explains most crashes.
	 * @return the case against the part, or empty if the evidence against none suffices
	 */
	Optional<Case> culprit() {
		Case best = null;
		for (PromptPartKey part : oftenAccusedParts()) {
			Case candidate = caseAgainst(part);
			if (candidate.isSufficient() && !isExplainedByLaterPart(part)
					&& (best == null || candidate.isStrongerThan(best))) {
				best = candidate;
			}
		}
		return Optional.ofNullable(best);
	}

	private List<PromptPartKey> oftenAccusedParts() {
		Map<PromptPartKey, Integer> crashCounts = new LinkedHashMap<>();
		for (Crash crash : this.crashByServer.values()) {
			crash.accused.forEach((part) -> crashCounts.merge(part, 1, Integer::sum));
		}
		return crashCounts.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() >= MIN_CRASHES)
			.map(Map.Entry::getKey)
			.toList();
	}

	private Case caseAgainst(PromptPartKey part) {
		List<Crash> crashes = this.crashByServer.values().stream().filter((crash) -> crash.accuses(part)).toList();
		long firstMillis = crashes.stream().mapToLong((crash) -> crash.atMillis).min().orElse(0);
		List<Crash> others = this.crashByServer.values()
			.stream()
			.filter((crash) -> !crash.accuses(part) && crash.atMillis >= firstMillis)
			.toList();
		Set<String> prompts = new LinkedHashSet<>();
		int answeringCount = 0;
		for (Crash crash : crashes) {
			List<Witness> witnesses = crash.witnessesAgainst(part);
			witnesses.forEach((witness) -> prompts.add(witness.prompt()));
			answeringCount += witnesses.stream().anyMatch(Witness::answering) ? 1 : 0;
		}
		List<Crash> telling = crashes.stream().filter((crash) -> isTelling(crash, part)).toList();
		return new Case(part, crashes.stream().map((crash) -> crash.server).toList(), momentCount(telling),
				momentCount(others), prompts.size(), answeringCount, firstMillis);
	}

	/**
	 * Tells whether a crash is evidence against a part that it accuses. Servers that
	 * crash at the same moment have a common cause, which isn't the part if most of them
	 * didn't have it and no answer to it was about to begin.
	 * @param crash the crash
	 * @param part the part
	 * @return whether the crash counts
	 */
	private boolean isTelling(Crash crash, PromptPartKey part) {
		if (crash.witnessesAgainst(part).stream().anyMatch(Witness::answering)) {
			return true;
		}
		List<Crash> simultaneous = this.crashByServer.values()
			.stream()
			.filter((other) -> Math.abs(other.atMillis - crash.atMillis) < MIN_SPACING_MILLIS)
			.toList();
		long accusing = simultaneous.stream().filter((other) -> other.accuses(part)).count();
		return 2 * accusing > simultaneous.size();
	}

	private static int momentCount(Collection<Crash> crashes) {
		List<Long> times = crashes.stream().map((crash) -> crash.atMillis).sorted().toList();
		int moments = 0;
		long lastMillis = 0;
		for (long timeMillis : times) {
			if (moments == 0 || timeMillis - lastMillis >= MIN_SPACING_MILLIS) {
				moments++;
				lastMillis = timeMillis;
			}
		}
		return moments;
	}

	/**
	 * Tells whether a part that follows this one in the same prompts explains nearly all
	 * of its crashes. Prompts share their first parts with many others, so that a first
	 * part is accused along with the later one that is the cause.
	 * @param part the part
	 * @return whether a later part may be the culprit as well
	 */
	private boolean isExplainedByLaterPart(PromptPartKey part) {
		Set<PromptPartKey> laterParts = new LinkedHashSet<>();
		this.crashByServer.values().forEach((crash) -> laterParts.addAll(crash.partsAfter(part)));
		return laterParts.stream().anyMatch((later) -> separateCrashCount(part, later) < MIN_SEPARATE_CRASHES);
	}

	private long separateCrashCount(PromptPartKey part, PromptPartKey other) {
		return this.crashByServer.values()
			.stream()
			.filter((crash) -> crash.accuses(part) && !crash.accuses(other))
			.count();
	}

	private void removeOldest() {
		Iterator<Crash> crashes = this.crashByServer.values().iterator();
		crashes.next();
		crashes.remove();
	}

	/**
	 * Evidence against a part.
	 *
	 * @param part the part
	 * @param servers servers whose crashes accuse it
	 * @param momentCount number of different moments of the crashes that are evidence
	 * @param otherMomentCount number of different moments of crashes since the first one
	 * that don't accuse the part
	 * @param promptCount number of different prompts
	 * @param answeringCount number of crashes at which the answer to such a prompt was
	 * about to begin
	 * @param firstMillis time of the first crash, in milliseconds
	 */
	record Case(PromptPartKey part, List<String> servers, int momentCount, int otherMomentCount, int promptCount,
			int answeringCount, long firstMillis) {

		boolean isSufficient() {
			boolean answering = this.answeringCount >= MIN_ANSWERING;
			int minCrashes = answering ? MIN_CRASHES + this.otherMomentCount / OTHER_CRASHES
					: MIN_CRASHES_UNANSWERED + this.otherMomentCount / OTHER_CRASHES_UNANSWERED;
			return this.promptCount >= MIN_PROMPTS && this.momentCount >= minCrashes;
		}

		/**
		 * Tells whether the evidence suffices while few other prompts are answered.
		 * @return whether the part alone explains many crashes
		 */
		boolean isStrong() {
			return this.answeringCount >= MIN_CRASHES_STRONG && this.promptCount >= MIN_CRASHES_STRONG
					&& this.otherMomentCount == 0;
		}

		boolean isStrongerThan(Case other) {
			return (this.servers.size() != other.servers.size()) ? this.servers.size() > other.servers.size()
					: this.promptCount > other.promptCount;
		}

	}

	private static final class Crash {

		private final String server;

		/** Time of the crash by the report that came with the least delay. */
		private long atMillis;

		private final Map<String, Witness> witnessByPrompt = new LinkedHashMap<>();

		private final Set<PromptPartKey> accused = new LinkedHashSet<>();

		/**
		 * Parts that were accused and then cleared; other reports may name them again.
		 */
		private final Set<PromptPartKey> cleared = new LinkedHashSet<>();

		private Crash(String server, long atMillis) {
			this.server = server;
			this.atMillis = atMillis;
		}

		private void add(Witness witness) {
			Witness known = this.witnessByPrompt.get(witness.prompt());
			if (known == null && this.witnessByPrompt.size() >= MAX_WITNESSES) {
				return;
			}
			if (known == null || witness.answering()) {
				this.witnessByPrompt.put(witness.prompt(), witness);
				this.accused.addAll(witness.suspects());
				this.accused.removeAll(this.cleared);
			}
		}

		private void clear(PromptPartKey part) {
			if (this.accused.remove(part)) {
				this.cleared.add(part);
			}
		}

		private boolean accuses(PromptPartKey part) {
			return this.accused.contains(part);
		}

		private List<Witness> witnessesAgainst(PromptPartKey part) {
			return this.witnessByPrompt.values().stream().filter((witness) -> witness.accuses(part)).toList();
		}

		private Set<PromptPartKey> partsAfter(PromptPartKey part) {
			Set<PromptPartKey> parts = new LinkedHashSet<>();
			if (accuses(part)) {
				this.witnessByPrompt.values().forEach((witness) -> parts.addAll(witness.suspectsAfter(part)));
				parts.retainAll(this.accused);
			}
			return parts;
		}

	}

}
