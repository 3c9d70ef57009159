package org.marjoramgw.direct.duty;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.lease.LeaseEntry;
import org.marjoramgw.policy.lease.LeaseRecord;
import org.marjoramgw.policy.usage.WindowCounts;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link DutyCodec}.
 *
 * @author The marjoramgw authors
 */
public class DutyCodecTests {

	private static final DutyMember MEMBER = new DutyMember("edge-1", 42, "a");

	private static final WindowCounts COUNTS = new WindowCounts(353_445_120L, new TreeMap<>(Map.of("x", 3, "y", 0)));

	private static final LeaseRecord LEASE = new LeaseRecord("edge-1", 42, LeaseRecord.ACQUIRING, 7, true, 99,
			List.of("edge-2", "edge-3"));

	@Test
	public void recordsAreReadBack() {
		Assert.assertEquals(DutyCodec.decodeLease(DutyCodec.encodeLease(LEASE)), Optional.of(new LeaseEntry(0, LEASE)));
		Assert.assertEquals(DutyCodec.decodeReport(DutyCodec.encodeReport(COUNTS)), Optional.of(COUNTS));
		Assert.assertEquals(DutyCodec.decodeDone(DutyCodec.encodeDone(5)), Optional.of(5L));
		Assert.assertEquals(DutyCodec.decodeCounts(DutyCodec.encodeCounts(MEMBER, 3, COUNTS)),
				Optional.of(new SharedCounts(COUNTS.window(), MEMBER, 3, COUNTS.counts())));
		Assert.assertEquals(DutyCodec.encodeCounts(MEMBER, 3, COUNTS).key(), "353445120/edge-1/42");
	}

	@Test
	public void deletionsNameTheirKey() {
		Assert.assertEquals(DutyCodec.deletionOfReport(5).key(),
				DutyCodec.encodeReport(new WindowCounts(5, new TreeMap<>())).key());
		SharedCounts deleted = DutyCodec.decodeCounts(DutyCodec.deletionOfCounts(5, DutyCodec.source(MEMBER)))
			.orElseThrow();
		Assert.assertEquals(deleted.window(), 5);
		Assert.assertEquals(DutyCodec.source(deleted.member()), DutyCodec.source(MEMBER));
	}

	/** Guards against another writer's record that stops the duty of all processes. */
	@Test
	public void malformedRecordsAreIgnored() {
		Random random = TestSeed.random(1);
		for (int number = 0; number < 20_000; number++) {
			byte[] value = new byte[random.nextInt(12)];
			random.nextBytes(value);
			for (String key : List.of("usage-lease", "usage-done", "report/5", "report/x", "5/edge-1/42", "5/edge-1",
					"x/edge-1/42")) {
				KeyedRecord record = new KeyedRecord(key, Optional.of(value), 0);
				DutyCodec.decodeLease(record);
				DutyCodec.decodeDone(record);
				DutyCodec.decodeReport(record);
				DutyCodec.decodeCounts(record);
			}
		}
	}

}
