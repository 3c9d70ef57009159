package org.marjoramgw.policy.quarantine;

import java.util.List;
import java.util.Random;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link Quarantine#peek}.
 *
 * @author The marjoramgw authors
 */
public class QuarantinePeekTests {

	private static final String MODEL = "m";

	private static final List<String> BAD = List.of("bad");

	private final ManualMillisClock clock = new ManualMillisClock(1_000_000);

	/** Guards against an explanation that claims the trial at the end of a term. */
	@Test
	public void claimsNoTrial() {
		Quarantine quarantine = new Quarantine("entry-1", this.clock, this.clock, new Random(1));
		Assert.assertTrue(quarantine.peek(MODEL, BAD).isEmpty());
		Verdict verdict = new Verdict(new PromptPartKey(MODEL, "bad"), 1, this.clock.nowMillis(), "entry-9", List.of());
		quarantine.onVerdict(verdict);
		this.clock.advanceMillis(verdict.termMillis());
		Assert.assertEquals(quarantine.peek(MODEL, BAD).orElseThrow(), verdict);
		Assert.assertEquals(quarantine.advance(), List.of());
		Assert.assertEquals(quarantine.check(MODEL, BAD).orElseThrow(), verdict);
		Verdict trial = quarantine.advance().get(0).verdict().orElseThrow();
		quarantine.onVerdict(trial);
		Assert.assertTrue(quarantine.peek(MODEL, BAD).isEmpty(), "a request would pass");
		Assert.assertTrue(quarantine.checkBeforeSend(MODEL, BAD).isEmpty(), "the trial is still there");
		Assert.assertTrue(quarantine.peek(MODEL, BAD).isPresent());
	}

}
