package org.marjoramgw.policy.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.marjoramgw.MillisClock;

/**
 * Verdicts in force, their terms and trials, and the changes that the other processes
 * have yet to learn. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class VerdictBook {

	static final int MAX_VERDICTS = 1_000;

	/**
	 * Time for which a verdict that arrives after its part was cleared is cleared again.
	 */
	static final long CLEARED_MILLIS = 30_000;

	/** Time after its term at which a verdict that nothing asked for is dropped. */
	static final long IDLE_MILLIS = 86_400_000;

	private final String processId;

	private final MillisClock clock;

	private final MillisClock wallClock;

	private final Map<PromptPartKey, HeldVerdict> verdictByPart = new LinkedHashMap<>();

	private final Map<PromptPartKey, Long> clearedAtMillisByPart = new LinkedHashMap<>();

	private final Map<PromptPartKey, VerdictChange> changes = new LinkedHashMap<>();

	/** When to share that a part is sound, by the monotonic clock, in milliseconds. */
	private final Map<PromptPartKey, Long> shareClearedAtMillisByPart = new LinkedHashMap<>();

	VerdictBook(String processId, MillisClock clock, MillisClock wallClock) {
		this.processId = processId;
		this.clock = clock;
		this.wallClock = wallClock;
	}

	boolean isEmpty() {
		return this.verdictByPart.isEmpty() && this.changes.isEmpty() && this.shareClearedAtMillisByPart.isEmpty();
	}

	boolean contains(PromptPartKey part) {
		return this.verdictByPart.containsKey(part);
	}

	List<Verdict> verdicts() {
		return this.verdictByPart.values().stream().map(HeldVerdict::verdict).toList();
	}

	/**
	 * Issues a verdict of this process.
	 * @param part the culprit
	 * @param term number of the first term
	 * @param servers servers that it crashed
	 * @param shareDelayMillis time after which the verdict is shared unless another
	 * process has shared its own, in milliseconds
	 * @return the verdict
	 */
	Verdict issue(PromptPartKey part, int term, List<String> servers, long shareDelayMillis) {
		Verdict verdict = new Verdict(part, term, this.wallClock.nowMillis(), this.processId, servers);
		hold(HeldVerdict.own(verdict, this.clock.nowMillis() + verdict.termMillis(),
				this.clock.nowMillis() + shareDelayMillis));
		return verdict;
	}

	/**
	 * Accepts a verdict of the store. Of several verdicts on one term, the first one
	 * counts.
	 * @param verdict the verdict
	 * @return whether it is in force
	 */
	boolean accept(Verdict verdict) {
		PromptPartKey part = verdict.part();
		if (wasClearedLately(part)) {
			share(VerdictChange.clear(part));
			return false;
		}
		HeldVerdict held = this.verdictByPart.get(part);
		if (held == null || !held.isShared() || held.verdict().term() < verdict.term()) {
			boolean trial = held != null && held.isClaimed() && verdict.author().equals(this.processId);
			hold(HeldVerdict.shared(verdict, endMillis(verdict), trial));
		}
		return true;
	}

	/**
	 * Removes a verdict.
	 * @param part the part
	 * @return whether there was one
	 */
	boolean remove(PromptPartKey part) {
		return this.verdictByPart.remove(part) != null;
	}

	/**
	 * Removes the verdicts that the store no longer has.
	 * @param present the parts of its verdicts
	 */
	void retainShared(Set<PromptPartKey> present) {
		this.verdictByPart.values().removeIf((held) -> held.isShared() && !present.contains(held.verdict().part()));
	}

	/**
	 * Takes note that a part was cleared by any process.
	 * @param part the part
	 */
	void onCleared(PromptPartKey part) {
		remove(part);
		this.shareClearedAtMillisByPart.remove(part);
	}

	/**
	 * Shares that a part is sound, unless another process does so before.
	 * @param part the part
	 * @param delayMillis time to wait for that, in milliseconds
	 */
	void shareCleared(PromptPartKey part, long delayMillis) {
		if (this.shareClearedAtMillisByPart.size() < MAX_VERDICTS) {
			this.shareClearedAtMillisByPart.merge(part, this.clock.nowMillis() + delayMillis, Math::min);
		}
	}

	private void shareCleared(PromptPartKey part) {
		this.clearedAtMillisByPart.put(part, this.clock.nowMillis());
		if (this.clearedAtMillisByPart.size() > MAX_VERDICTS) {
			this.clearedAtMillisByPart.remove(this.clearedAtMillisByPart.keySet().iterator().next());
		}
		share(VerdictChange.clear(part));
	}

	/**
	 * Finds a verdict against a prompt. At the end of its term, a trial is claimed for
	 * this process.
	 * @param parts parts of the prompt
	 * @return the verdict, or empty if the prompt may pass
	 */
	Optional<Verdict> findRefusal(Collection<PromptPartKey> parts) {
		Optional<HeldVerdict> refusing = refusing(parts);
		if (refusing.isPresent() && refusing.get().claim(this.clock.nowMillis())) {
			share(VerdictChange.of(refusing.get().verdict().next(this.wallClock.nowMillis(), this.processId)));
		}
		return refusing.map(HeldVerdict::verdict);
	}

	/**
	 * Finds a verdict against a prompt without claiming a trial.
	 * @param parts parts of the prompt
	 * @return the verdict, or empty if the prompt may pass
	 */
	Optional<Verdict> peekRefusal(Collection<PromptPartKey> parts) {
		return refusing(parts).map(HeldVerdict::verdict);
	}

	private Optional<HeldVerdict> refusing(Collection<PromptPartKey> parts) {
		for (PromptPartKey part : parts) {
			HeldVerdict held = this.verdictByPart.get(part);
			if (held != null && !held.hasTrial()) {
				return Optional.of(held);
			}
		}
		return Optional.empty();
	}

	/**
	 * Uses up the trials that let a prompt pass.
	 * @param parts parts of the prompt
	 */
	void useTrials(Collection<PromptPartKey> parts) {
		for (PromptPartKey part : parts) {
			HeldVerdict held = this.verdictByPart.get(part);
			if (held != null) {
				held.useTrial();
			}
		}
	}

	/**
	 * Takes the changes that are due to be shared.
	 * @return the changes, each of them once
	 */
	List<VerdictChange> takeChanges() {
		long nowMillis = this.clock.nowMillis();
		for (Map.Entry<PromptPartKey, Long> clearing : Map.copyOf(this.shareClearedAtMillisByPart).entrySet()) {
			if (clearing.getValue() <= nowMillis) {
				this.shareClearedAtMillisByPart.remove(clearing.getKey());
				shareCleared(clearing.getKey());
			}
		}
		for (HeldVerdict held : List.copyOf(this.verdictByPart.values())) {
			if (held.takeShare(nowMillis)) {
				share(VerdictChange.of(held.verdict()));
			}
			if (held.isIdle(nowMillis, IDLE_MILLIS)) {
				remove(held.verdict().part());
				share(VerdictChange.clear(held.verdict().part()));
			}
		}
		List<VerdictChange> taken = new ArrayList<>(this.changes.values());
		this.changes.clear();
		return taken;
	}

	private boolean wasClearedLately(PromptPartKey part) {
		Long clearedAtMillis = this.clearedAtMillisByPart.get(part);
		return clearedAtMillis != null && this.clock.nowMillis() - clearedAtMillis < CLEARED_MILLIS;
	}

	/**
	 * Returns the end of a term. Wall clocks of other processes are trusted only within
	 * the length of the term.
	 * @param verdict the verdict
	 * @return its end by the monotonic clock, in milliseconds
	 */
	private long endMillis(Verdict verdict) {
		long remainingMillis = verdict.startMillis() + verdict.termMillis() - this.wallClock.nowMillis();
		return this.clock.nowMillis() + Math.min(Math.max(0, remainingMillis), verdict.termMillis());
	}

	private void hold(HeldVerdict held) {
		this.verdictByPart.put(held.verdict().part(), held);
		if (this.verdictByPart.size() > MAX_VERDICTS) {
			this.verdictByPart.remove(this.verdictByPart.keySet().iterator().next());
		}
	}

	private void share(VerdictChange change) {
		this.changes.put(change.part(), change);
	}

}
