package org.marjoramgw.direct.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.marjoramgw.direct.Fixtures;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.quarantine.CrashReport;
import org.marjoramgw.policy.quarantine.PromptPartKey;
import org.marjoramgw.policy.quarantine.Verdict;
import org.marjoramgw.policy.quarantine.VerdictChange;
import org.marjoramgw.policy.quarantine.Witness;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link QuarantineCodec}.
 *
 * @author The marjoramgw authors
 */
public class QuarantineCodecTests {

	private static final PromptPartKey PART = new PromptPartKey("model/with/slashes", "7f94");

	private static final Verdict VERDICT = new Verdict(PART, 3, 1_700_000_000_000L, "entry-1", List.of("i-1@5"));

	private static final CrashReport REPORT = new CrashReport("i-1@5", 0,
			List.of(new Witness("p1", List.of(PART, new PromptPartKey(PART.model(), "b")), true)));

	@Test
	public void reportsAndVerdictsAreReadBack() {
		KeyedRecord crash = QuarantineCodec.encode(REPORT, 120, "entry-2");
		Assert.assertTrue(QuarantineCodec.isCrash(crash));
		Assert.assertEquals(QuarantineCodec.decodeReport(crash),
				Optional.of(new CrashReport(REPORT.server(), 120, REPORT.witnesses())));
		Assert.assertEquals(QuarantineCodec.decodeReporter(crash), "entry-2");
		Verdict provisional = new Verdict(PART, Verdict.PROVISIONAL_TERM, 1, "entry-1", List.of());
		for (Verdict verdict : List.of(VERDICT, provisional)) {
			KeyedRecord record = QuarantineCodec.encode(new VerdictChange(PART, Optional.of(verdict)));
			Assert.assertEquals(QuarantineCodec.decodeVerdict(record), Optional.of(verdict));
		}
		KeyedRecord cleared = QuarantineCodec.encode(new VerdictChange(PART, Optional.empty()));
		Assert.assertTrue(QuarantineCodec.decodeVerdict(cleared).isEmpty());
		Assert.assertEquals(QuarantineCodec.decodePart(cleared), Optional.of(PART));
	}

	@DataProvider
	public Object[][] oddValues() {
		return new Object[][] { { "" }, { "null" }, { "[]" }, { "7" }, { "{}" }, { "[".repeat(100_000) },
				{ "{\"server\":" + "9".repeat(5_000) + "}" },
				{ "{\"server\":\"i\",\"age_ms\":1e999,\"witnesses\":{}}" },
				{ "{\"server\":\"i\",\"witnesses\":[null,7,{\"parts\":{\"a\":[]}}]}" },
				{ "{\"term\":1e400,\"start_ms\":\"x\",\"servers\":null}" } };
	}

	@Test(dataProvider = "oddValues")
	public void oddValuesOfOtherWritersAreDecodedOrIgnored(String value) {
		for (String key : new String[] { "crash", "verdict/m/a", "verdict/", "verdict//", "", "other" }) {
			decodeAll(Fixtures.record(key, value, 0));
		}
	}

	@Test
	public void corruptedRecordsAreDecodedOrIgnored() {
		Random random = TestSeed.random(31);
		for (KeyedRecord intact : List.of(QuarantineCodec.encode(REPORT, 1, "e"),
				QuarantineCodec.encode(new VerdictChange(PART, Optional.of(VERDICT))))) {
			for (int step = 0; step < 2_000; step++) {
				byte[] corrupted = intact.value().orElseThrow().clone();
				corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
				decodeAll(new KeyedRecord(intact.key(), Optional.of(corrupted), 0));
			}
		}
	}

	private static void decodeAll(KeyedRecord record) {
		QuarantineCodec.decodeReport(record);
		QuarantineCodec.decodeReporter(record);
		QuarantineCodec.decodeVerdict(record);
	}

}
