package org.marjoramgw.claim.internal;

import java.util.Optional;

import org.marjoramgw.log.LogRecord;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ClaimState}.
 *
 * @author The marjoramgw authors
 */
public class ClaimStateTests {

	private static final String KEY = "0".repeat(32);

	private static final long WINDOW_MILLIS = 1_000;

	private static final int MAX_KEYS = 2;

	private final ClaimRecordCodec codec = new ClaimRecordCodec();

	private static ClaimRecord claim(String id) {
		return claim(id, KEY);
	}

	private static ClaimRecord claim(String id, String key) {
		return new ClaimRecord.Claim(id, key, "1".repeat(32), "p", 1, "r");
	}

	private static ClaimRecord release(String id) {
		return new ClaimRecord.Release(id, KEY);
	}

	private static ClaimRecord result(String id) {
		return new ClaimRecord.Result(id, KEY, 200, "t", true, "b");
	}

	private static ClaimRecord[] records(ClaimRecord... records) {
		return records;
	}

	@DataProvider
	public Object[][] sequences() {
		return new Object[][] { { records(claim("a")), "a" }, { records(claim("a"), claim("b")), "a" },
				{ records(claim("a"), claim("b"), release("a")), null },
				{ records(claim("a"), claim("b"), release("b")), "a" },
				{ records(claim("a"), release("a"), claim("b")), "b" },
				{ records(claim("a"), release("a"), claim("a")), null }, { records(release("a"), claim("a")), null },
				{ records(claim("a"), claim("a"), release("a"), claim("a")), null },
				{ records(claim("a"), result("a"), release("a")), "a" },
				{ records(claim("a"), result("b"), release("a"), claim("c")), "c" } };
	}

	@Test(dataProvider = "sequences")
	public void holderFollowsFromTheOrderOfRecords(ClaimRecord[] records, String holder) {
		ClaimState state = new ClaimState(WINDOW_MILLIS, MAX_KEYS, this.codec);
		apply(state, 0, records);
		Optional<String> actual = state.holder(TruncatedSha256.parse(KEY)).map(HeldClaim::claimId);
		Assert.assertEquals(actual.orElse(null), holder);
	}

	@Test
	public void ignoresMalformedRecords() {
		ClaimState state = new ClaimState(WINDOW_MILLIS, MAX_KEYS, this.codec);
		String[] malformed = { "", "null", "{}", "{\"type\":\"claim\"}", "{\"type\":\"other\"}", "[1]",
				this.codec.encode(claim("a", "short")), this.codec.encode(claim("a", "x".repeat(32))) };
		for (int offset = 0; offset < malformed.length; offset++) {
			state.apply(new LogRecord(offset, 0, malformed[offset]));
		}
		Assert.assertEquals(state.nextOffset(), malformed.length);
		Assert.assertEquals(state.size(), 0);
	}

	@Test
	public void evictsClaimsAfterTheWindow() {
		ClaimState state = new ClaimState(WINDOW_MILLIS, MAX_KEYS, this.codec);
		apply(state, 0, claim("a"));
		apply(state, WINDOW_MILLIS, claim("b", "2".repeat(32)));
		Assert.assertEquals(state.size(), 2);
		apply(state, WINDOW_MILLIS + 1, claim("c", "3".repeat(32)));
		Assert.assertEquals(state.holder(TruncatedSha256.parse(KEY)), Optional.empty());
		Assert.assertEquals(state.evictedUntilMillis(), Long.MIN_VALUE);
	}

	@Test
	public void reportsTheTimeOfClaimsEvictedWithinTheWindow() {
		ClaimState state = new ClaimState(WINDOW_MILLIS, MAX_KEYS, this.codec);
		apply(state, 10, claim("a"));
		apply(state, 20, claim("b", "2".repeat(32)));
		apply(state, 30, claim("c", "3".repeat(32)));
		Assert.assertEquals(state.size(), MAX_KEYS);
		Assert.assertEquals(state.evictedUntilMillis(), 10);
	}

	private void apply(ClaimState state, long timeMillis, ClaimRecord... records) {
		for (ClaimRecord record : records) {
			state.apply(new LogRecord(state.nextOffset(), timeMillis, this.codec.encode(record)));
		}
	}

}
