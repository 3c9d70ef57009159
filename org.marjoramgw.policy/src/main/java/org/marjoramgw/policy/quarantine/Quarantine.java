package org.marjoramgw.policy.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.marjoramgw.MillisClock;

/**
 * Decides which prompt parts are refused because they crash backend servers; thread-safe.
 * <p>
 * Every process reads the crash reports of all processes in the same order and comes to
 * the same verdicts. A verdict is shared as well, for processes that start later. An
 * answer that begins clears the parts of its prompt everywhere. After a term, which
 * doubles each time, one process lets one request pass as a trial.
 *
 * @author The marjoramgw authors
 */
public final class Quarantine {

	/** Time in which answers that begin may still clear a part before its verdict. */
	static final long SETTLE_MILLIS = 600;

	/**
	 * Answers that must begin meanwhile, so that a part isn't convicted only because no
	 * server is left to answer.
	 */
	static final int MIN_OTHER_ANSWERS = 8;

	/**
	 * Time within which a verdict is shared by a process that didn't report the last
	 * crash.
	 */
	static final int MAX_SHARE_DELAY_MILLIS = 1_000;

	/** Crashes after which a part that is sound is cleared for all processes at once. */
	private static final int MIN_URGENT_CRASHES = 2;

	private static final int MAX_EXPLAINED_SERVERS = 1_000;

	private static final int MAX_NAME_LENGTH = 64;

	private final String processId;

	private final MillisClock clock;

	private final Random random;

	private final CrashLedger ledger = new CrashLedger();

	private final BegunParts begunParts = new BegunParts();

	private final VerdictBook verdicts;

	/** Servers whose crash has a known culprit, which accuses no other part. */
	private final Set<String> explainedServers = new LinkedHashSet<>();

	private String lastReporter = "";

	private PromptPartKey settlingPart;

	private long settledAtMillis;

	private long answerCount;

	private long settledAtAnswerCount;

	/** When an answer began last, by the monotonic clock, in milliseconds. */
	private long lastAnswerMillis = Long.MIN_VALUE;

	/**
	 * Creates a quarantine without verdicts.
	 * @param processId id of this process
	 * @param clock monotonic clock
	 * @param wallClock clock of the time of day
	 * @param random source of randomness
	 */
	public Quarantine(String processId, MillisClock clock, MillisClock wallClock, Random random) {
		this.processId = processId;
		this.clock = clock;
		this.random = random;
		this.verdicts = new VerdictBook(processId, clock, wallClock);
	}

	/**
	 * Returns the verdict for which a prompt is refused at present.
	 * @param model name of the model
	 * @param parts ids of the parts that other prompts may have in common
	 * @return the verdict, or empty if the prompt isn't refused
	 */
	public synchronized Optional<Verdict> check(String model, List<String> parts) {
		return this.verdicts.isEmpty() ? Optional.empty() : this.verdicts.findRefusal(keys(model, parts));
	}

	/**
	 * Returns the same verdict as {@link #check} without claiming a trial.
	 * @param model name of the model
	 * @param parts ids of the parts that other prompts may have in common
	 * @return the verdict, or empty if the prompt isn't refused
	 */
	public synchronized Optional<Verdict> peek(String model, List<String> parts) {
		return this.verdicts.peekRefusal(keys(model, parts));
	}

	/**
	 * Returns the verdict for which a prompt is refused immediately before it is sent to
	 * a server. A trial is used up if the prompt passes because of it.
	 * @param model name of the model
	 * @param parts ids of the parts that other prompts may have in common
	 * @return the verdict, or empty if the prompt may be sent
	 */
	public synchronized Optional<Verdict> checkBeforeSend(String model, List<String> parts) {
		Optional<Verdict> refusal = check(model, parts);
		if (refusal.isEmpty() && !this.verdicts.isEmpty()) {
			this.verdicts.useTrials(keys(model, parts));
		}
		return refusal;
	}

	/**
	 * Returns the parts of a prompt that may have crashed its server.
	 * @param model name of the model
	 * @param parts ids of the parts that other prompts may have in common
	 * @param sentMillis when the prompt was sent, by the monotonic clock, in milliseconds
	 * @return the parts with which no answer has begun since then
	 */
	public synchronized List<PromptPartKey> suspects(String model, List<String> parts, long sentMillis) {
		return keys(model, parts).stream().filter((part) -> !this.begunParts.containsSince(part, sentMillis)).toList();
	}

	/**
	 * Tells whether a prompt whose server crashed may be sent to another server.
	 * @param model name of the model
	 * @param parts ids of the parts that other prompts may have in common
	 * @return whether answers began with all of its parts, and none is accused
	 */
	public synchronized boolean isTrusted(String model, List<String> parts) {
		return keys(model, parts).stream()
			.allMatch((part) -> this.begunParts.contains(part) && !this.ledger.isAccused(part));
	}

	/**
	 * Records that an answer has begun and gone on, which clears the parts of its prompt.
	 * @param model name of the model
	 * @param parts ids of the parts that other prompts may have in common
	 */
	public synchronized void onAnswer(String model, List<String> parts) {
		long nowMillis = this.clock.nowMillis();
		this.answerCount++;
		this.lastAnswerMillis = nowMillis;
		for (PromptPartKey part : keys(model, parts)) {
			this.begunParts.add(part, nowMillis);
			clear(part);
		}
		// The next prompt may be sent before the next call of advance().
		if (this.settlingPart != null && nowMillis >= this.settledAtMillis) {
			decide(nowMillis);
		}
	}

	/**
	 * Takes a crash report of any process, also of this one.
	 * @param report the report
	 * @param reporter id of the process
	 */
	public synchronized void onReport(CrashReport report, String reporter) {
		if (this.explainedServers.contains(report.server())) {
			return;
		}
		Set<PromptPartKey> suspects = report.witnesses()
			.stream()
			.flatMap((witness) -> witness.suspects().stream())
			.collect(Collectors.toCollection(LinkedHashSet::new));
		if (suspects.stream().anyMatch(this.verdicts::contains)) {
			this.ledger.remove(report.server());
			markExplained(List.of(report.server()));
			return;
		}
		long nowMillis = this.clock.nowMillis();
		long crashedAtMillis = nowMillis - Math.max(0, report.ageMillis());
		this.lastReporter = reporter;
		this.ledger.add(report, nowMillis);
		suspects.stream().filter((part) -> this.begunParts.containsSince(part, crashedAtMillis)).forEach(this::clear);
	}

	/**
	 * Takes a verdict that was read from the store.
	 * @param verdict the verdict
	 */
	public synchronized void onVerdict(Verdict verdict) {
		if (this.verdicts.accept(verdict)) {
			closeCase(verdict);
		}
	}

	/**
	 * Takes note that a part was cleared by any process or by an operator.
	 * @param part the part
	 */
	public synchronized void onCleared(PromptPartKey part) {
		this.ledger.clear(part);
		this.verdicts.onCleared(part);
	}

	/**
	 * Takes all verdicts that the store has.
	 * @param present the verdicts
	 */
	public synchronized void onSnapshot(Collection<Verdict> present) {
		this.verdicts.retainShared(present.stream().map(Verdict::part).collect(Collectors.toSet()));
		present.forEach(this::onVerdict);
	}

	/**
	 * Decides on the parts that are accused, and returns what is to be shared with the
	 * other processes.
	 * @return the changes, each of them once
	 */
	public synchronized List<VerdictChange> advance() {
		long nowMillis = this.clock.nowMillis();
		this.ledger.expire(nowMillis);
		decide(nowMillis);
		return this.verdicts.takeChanges();
	}

	/**
	 * Returns the verdicts in force.
	 * @return the verdicts
	 */
	public synchronized List<Verdict> verdicts() {
		return this.verdicts.verdicts();
	}

	private void clear(PromptPartKey part) {
		if (this.ledger.isEmpty() && this.verdicts.isEmpty()) {
			return;
		}
		boolean convicted = this.verdicts.remove(part);
		int crashCount = this.ledger.crashCount(part);
		if (convicted || crashCount > 0) {
			boolean urgent = convicted || crashCount >= MIN_URGENT_CRASHES;
			this.verdicts.shareCleared(part, urgent ? 0 : this.random.nextInt(MAX_SHARE_DELAY_MILLIS));
		}
		this.ledger.clear(part);
	}

	private void decide(long nowMillis) {
		Optional<CrashLedger.Case> culprit = this.ledger.culprit();
		if (culprit.isEmpty()) {
			this.settlingPart = null;
			return;
		}
		PromptPartKey part = culprit.get().part();
		if (!part.equals(this.settlingPart)) {
			this.settlingPart = part;
			this.settledAtMillis = nowMillis + SETTLE_MILLIS;
			this.settledAtAnswerCount = this.answerCount + MIN_OTHER_ANSWERS;
		}
		if (nowMillis < this.settledAtMillis) {
			return;
		}
		if (this.answerCount >= this.settledAtAnswerCount) {
			issue(culprit.get(), Verdict.FIRST_TERM);
		}
		else if (culprit.get().isStrong() && this.lastAnswerMillis > culprit.get().firstMillis()) {
			// Where there is little traffic, or few servers are left, further answers may
			// take longer than many crashes. One shows that other prompts are served.
			issue(culprit.get(), Verdict.PROVISIONAL_TERM);
		}
	}

	private void issue(CrashLedger.Case culprit, int term) {
		this.settlingPart = null;
		boolean reportedLast = this.lastReporter.equals(this.processId);
		closeCase(this.verdicts.issue(culprit.part(), term, culprit.servers(),
				reportedLast ? 0 : this.random.nextInt(MAX_SHARE_DELAY_MILLIS)));
	}

	private void closeCase(Verdict verdict) {
		markExplained(this.ledger.removeCrashesOf(verdict.part()));
		markExplained(verdict.servers());
	}

	private void markExplained(List<String> servers) {
		this.explainedServers.addAll(servers);
		while (this.explainedServers.size() > MAX_EXPLAINED_SERVERS) {
			this.explainedServers.remove(this.explainedServers.iterator().next());
		}
	}

	/**
	 * Tells whether a text of a caller may be shared with all processes.
	 * @param text the text
	 * @return whether it is short and printable ASCII
	 */
	private static boolean isName(String text) {
		return text.length() <= MAX_NAME_LENGTH && text.chars().allMatch((next) -> next > ' ' && next <= '~');
	}

	private static List<PromptPartKey> keys(String model, List<String> parts) {
		if (!isName(model)) {
			return List.of();
		}
		List<PromptPartKey> keys = new ArrayList<>();
		for (String part : parts) {
			if (!part.isEmpty() && isName(part)) {
				keys.add(new PromptPartKey(model, part));
			}
		}
		return keys;
	}

}
