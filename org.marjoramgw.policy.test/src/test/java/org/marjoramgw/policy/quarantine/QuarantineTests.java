package org.marjoramgw.policy.quarantine;

import java.util.List;
import java.util.Random;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the life of a verdict of {@link Quarantine}.
 *
 * @author The marjoramgw authors
 */
public class QuarantineTests {

	private static final String MODEL = "m";

	private static final PromptPartKey BAD_PART = new PromptPartKey(MODEL, "bad");

	private static final List<String> BAD = List.of("first", "bad");

	private static final List<String> SOUND = List.of("first", "other");

	private static final long MANY_PARTS = 1_000_000;

	private ManualMillisClock clock;

	private Quarantine quarantine;

	private int crashCount;

	@BeforeMethod
	public void create() {
		this.clock = new ManualMillisClock(1_000_000);
		this.quarantine = process("entry-1");
		this.crashCount = 0;
	}

	@Test
	public void promptWithTheBadPartIsRefusedAndOthersPass() {
		convict();
		Assert.assertTrue(this.quarantine.check(MODEL, BAD).isPresent());
		Assert.assertTrue(this.quarantine.check(MODEL, SOUND).isEmpty());
		Assert.assertTrue(this.quarantine.check("other-model", BAD).isEmpty());
	}

	@Test
	public void verdictIsSharedOnceAndHeldByOtherProcesses() {
		Verdict verdict = convict();
		Quarantine other = process("entry-2");
		other.onSnapshot(List.of(verdict));
		Assert.assertTrue(other.check(MODEL, BAD).isPresent());
		this.quarantine.onVerdict(verdict);
		this.clock.advanceMillis(10_000);
		Assert.assertEquals(this.quarantine.advance(), List.of());
	}

	@Test
	public void verdictThatTheStoreNoLongerHasIsLifted() {
		this.quarantine.onVerdict(convict());
		this.quarantine.onSnapshot(List.of());
		Assert.assertTrue(this.quarantine.check(MODEL, BAD).isEmpty());
	}

	@Test
	public void answerWhileTheVerdictSettlesPreventsIt() {
		crashUntilAccused();
		this.quarantine.advance();
		this.quarantine.onAnswer(MODEL, BAD);
		this.clock.advanceMillis(Quarantine.SETTLE_MILLIS);
		Assert.assertTrue(this.quarantine.advance().contains(VerdictChange.clear(BAD_PART)));
		Assert.assertEquals(this.quarantine.verdicts(), List.of());
	}

	@Test
	public void noPartIsConvictedWhileNoServerAnswers() {
		crashUntilAccused();
		this.quarantine.advance();
		this.clock.advanceMillis(Quarantine.SETTLE_MILLIS * 5);
		this.quarantine.advance();
		Assert.assertEquals(this.quarantine.verdicts(), List.of());
	}

	/**
	 * Guards against a verdict that waits for answers while servers crash on and on.
	 */
	@Test
	public void partOfManyCrashesIsRefusedForAShortTimeOnceAnotherPromptIsAnswered() {
		crashUntilStrong();
		this.quarantine.onAnswer(MODEL, List.of("another"));
		this.clock.advanceMillis(Quarantine.SETTLE_MILLIS);
		Verdict verdict = this.quarantine.advance().get(0).verdict().orElseThrow();
		Assert.assertEquals(verdict.term(), Verdict.PROVISIONAL_TERM);
		Assert.assertTrue(verdict.termMillis() < 20_000, verdict.termMillis() + " ms");
		Assert.assertTrue(this.quarantine.check(MODEL, BAD).isPresent());
		this.quarantine.onVerdict(verdict);
		this.clock.advanceMillis(verdict.termMillis());
		this.quarantine.check(MODEL, BAD);
		Verdict next = this.quarantine.advance().get(0).verdict().orElseThrow();
		Assert.assertEquals(next.termMillis(), 2 * verdict.termMillis());
	}

	/** Guards against sound parts that are refused while nothing is served. */
	@Test
	public void partOfManyCrashesIsNotConvictedWhileNoServerAnswers() {
		this.quarantine.onAnswer(MODEL, SOUND);
		crashUntilStrong();
		this.clock.advanceMillis(Quarantine.SETTLE_MILLIS * 5);
		this.quarantine.advance();
		Assert.assertEquals(this.quarantine.verdicts(), List.of());
	}

	/** Guards against sound parts that are refused since all servers crash. */
	@Test
	public void partOfManyCrashesBesideAnotherOneNeedsMoreAnswers() {
		crashUntilStrong();
		report("s-other", 0, List.of("elsewhere"));
		this.quarantine.onAnswer(MODEL, SOUND);
		this.clock.advanceMillis(Quarantine.SETTLE_MILLIS);
		this.quarantine.advance();
		Assert.assertEquals(this.quarantine.verdicts(), List.of());
	}

	@Test
	public void answerLiftsAShortVerdictToo() {
		crashUntilStrong();
		this.quarantine.onAnswer(MODEL, SOUND);
		this.clock.advanceMillis(Quarantine.SETTLE_MILLIS);
		this.quarantine.advance();
		this.quarantine.onAnswer(MODEL, BAD);
		Assert.assertEquals(this.quarantine.verdicts(), List.of());
	}

	/**
	 * Guards against bad prompts that are sent between the last answer and the next
	 * round.
	 */
	@Test
	public void verdictIsInForceFromTheLastAnswerThatItNeeds() {
		crashUntilAccused();
		this.quarantine.advance();
		this.clock.advanceMillis(Quarantine.SETTLE_MILLIS);
		for (int answer = 1; answer < Quarantine.MIN_OTHER_ANSWERS; answer++) {
			this.quarantine.onAnswer(MODEL, SOUND);
		}
		Assert.assertTrue(this.quarantine.check(MODEL, BAD).isEmpty());
		this.quarantine.onAnswer(MODEL, SOUND);
		Assert.assertTrue(this.quarantine.check(MODEL, BAD).isPresent());
	}

	@Test
	public void answerOfARequestSentEarlierLiftsTheVerdictEverywhere() {
		convict();
		this.quarantine.onAnswer(MODEL, BAD);
		Assert.assertTrue(this.quarantine.check(MODEL, BAD).isEmpty());
		Assert.assertTrue(this.quarantine.advance().contains(VerdictChange.clear(BAD_PART)));
	}

	@Test
	public void partThatIsClearedAfterOneCrashIsClearedForAll() {
		Quarantine other = process("entry-2");
		report(other, "s1", 0, "p1", BAD);
		report("s1", 0, BAD);
		this.clock.advanceMillis(1);
		this.quarantine.onAnswer(MODEL, BAD);
		this.clock.advanceMillis(Quarantine.MAX_SHARE_DELAY_MILLIS);
		Assert.assertTrue(this.quarantine.advance().contains(VerdictChange.clear(BAD_PART)));
		Assert.assertEquals(this.quarantine.advance(), List.of(), "once");
		other.onCleared(BAD_PART);
		other.onAnswer(MODEL, BAD);
		this.clock.advanceMillis(Quarantine.MAX_SHARE_DELAY_MILLIS);
		Assert.assertFalse(other.advance().contains(VerdictChange.clear(BAD_PART)), "by one process");
	}

	@Test
	public void verdictThatArrivesAfterItsPartWasClearedIsClearedAgain() {
		Verdict late = convict();
		this.quarantine.onAnswer(MODEL, BAD);
		this.quarantine.advance();
		this.quarantine.onVerdict(late);
		Assert.assertTrue(this.quarantine.check(MODEL, BAD).isEmpty());
		Assert.assertEquals(this.quarantine.advance(), List.of(VerdictChange.clear(BAD_PART)));
	}

	@Test
	public void oneProcessLetsOneRequestPassAfterTheTerm() {
		Verdict verdict = convict();
		Quarantine other = process("entry-2");
		this.quarantine.onVerdict(verdict);
		other.onVerdict(verdict);
		this.clock.advanceMillis(verdict.termMillis());
		Assert.assertTrue(this.quarantine.check(MODEL, BAD).isPresent(), "refused while the trial is claimed");
		Assert.assertTrue(other.check(MODEL, BAD).isPresent(), "refused while the trial is claimed");
		Verdict first = this.quarantine.advance().get(0).verdict().orElseThrow();
		Verdict second = other.advance().get(0).verdict().orElseThrow();
		for (Quarantine each : List.of(this.quarantine, other)) {
			each.onVerdict(first);
			each.onVerdict(second);
		}
		Assert.assertTrue(this.quarantine.checkBeforeSend(MODEL, BAD).isEmpty(), "the trial");
		Assert.assertTrue(this.quarantine.checkBeforeSend(MODEL, BAD).isPresent(), "one request only");
		Assert.assertTrue(other.checkBeforeSend(MODEL, BAD).isPresent(), "one process only");
		Assert.assertEquals(first.termMillis(), 2 * verdict.termMillis());
	}

	@Test
	public void termOfAWrongWallClockEndsAllTheSame() {
		Verdict verdict = new Verdict(BAD_PART, 1, this.clock.nowMillis() + 1_000_000_000, "entry-9", List.of());
		this.quarantine.onVerdict(verdict);
		this.clock.advanceMillis(verdict.termMillis());
		this.quarantine.check(MODEL, BAD);
		Assert.assertEquals(this.quarantine.advance().size(), 1, "a trial is claimed");
	}

	@Test
	public void requestIsNotRepeatedWhileAPartOfItMayBeBad() {
		Assert.assertFalse(this.quarantine.isTrusted(MODEL, SOUND), "no answer has begun with its parts");
		this.quarantine.onAnswer(MODEL, SOUND);
		Assert.assertTrue(this.quarantine.isTrusted(MODEL, SOUND));
		this.clock.advanceMillis(1);
		report("s1", 0, SOUND);
		Assert.assertFalse(this.quarantine.isTrusted(MODEL, SOUND), "accused since");
	}

	@Test
	public void partsOfLaterAnswersAreNoSuspects() {
		this.quarantine.onAnswer(MODEL, List.of("first"));
		Assert.assertEquals(this.quarantine.suspects(MODEL, BAD, this.clock.nowMillis()), List.of(BAD_PART));
		Assert.assertEquals(this.quarantine.suspects(MODEL, BAD, this.clock.nowMillis() + 1).size(), 2);
	}

	@Test
	public void reportsInAnotherOrderLeadToTheSameVerdict() {
		Quarantine other = process("entry-2");
		for (int crash = 0; crash < CrashLedger.MIN_CRASHES; crash++) {
			report(this.quarantine, "s" + crash, 1_000 * (2 - crash), "p" + crash, BAD);
			report(other, "s" + (2 - crash), 1_000 * crash, "p" + (2 - crash), BAD);
			report(other, "s" + (2 - crash), 1_000 * crash, "p" + (2 - crash), BAD);
		}
		settle(this.quarantine);
		settle(other);
		Assert.assertEquals(this.quarantine.verdicts().get(0).part(), BAD_PART);
		Assert.assertEquals(other.verdicts().get(0).part(), BAD_PART);
	}

	@Test
	public void namesOfAnyLengthAndNumberAreBounded() {
		String longName = "x".repeat(100_000);
		Assert.assertEquals(this.quarantine.suspects(MODEL, List.of(longName, ""), 0), List.of());
		Assert.assertEquals(this.quarantine.suspects(longName, BAD, 0), List.of());
		Assert.assertEquals(this.quarantine.suspects(MODEL, List.of("\u4e2d".repeat(60), "a b", "a\nb"), 0), List.of());
		for (long part = 0; part < MANY_PARTS; part++) {
			this.quarantine.onAnswer(MODEL, List.of("part-" + part));
		}
		Assert.assertFalse(this.quarantine.isTrusted(MODEL, List.of("part-0")), "the oldest are forgotten");
		Assert.assertTrue(this.quarantine.isTrusted(MODEL, List.of("part-" + (MANY_PARTS - 1))));
	}

	private Quarantine process(String id) {
		return new Quarantine(id, this.clock, this.clock, new Random(1));
	}

	private Verdict convict() {
		crashUntilAccused();
		return settle(this.quarantine).get(0).verdict().orElseThrow();
	}

	private void crashUntilAccused() {
		while (this.crashCount < CrashLedger.MIN_CRASHES) {
			this.clock.advanceMillis(CrashLedger.MIN_SPACING_MILLIS);
			this.crashCount++;
			report("s" + this.crashCount, 0, BAD);
		}
	}

	private void crashUntilStrong() {
		while (this.crashCount < CrashLedger.MIN_CRASHES_STRONG) {
			this.clock.advanceMillis(CrashLedger.MIN_SPACING_MILLIS);
			this.crashCount++;
			report("s" + this.crashCount, 0, BAD);
		}
		this.quarantine.advance();
		this.clock.advanceMillis(1);
	}

	private List<VerdictChange> settle(Quarantine process) {
		process.advance();
		for (int answer = 0; answer < Quarantine.MIN_OTHER_ANSWERS; answer++) {
			process.onAnswer(MODEL, List.of("another"));
		}
		this.clock.advanceMillis(Quarantine.SETTLE_MILLIS);
		return process.advance();
	}

	private void report(String server, long ageMillis, List<String> parts) {
		report(this.quarantine, server, ageMillis, "prompt-of-" + server, parts);
	}

	private static void report(Quarantine process, String server, long ageMillis, String prompt, List<String> parts) {
		List<PromptPartKey> suspects = parts.stream().map((part) -> new PromptPartKey(MODEL, part)).toList();
		process.onReport(new CrashReport(server, ageMillis, List.of(new Witness(prompt, suspects, true))), "entry-1");
	}

}
