package org.marjoramgw.claim;

import java.util.UUID;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import org.marjoramgw.ResultCode;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.log.MemoryLog;
import org.marjoramgw.log.MemoryLog.AppendFault;
import org.marjoramgw.log.StartRecord;
import org.marjoramgw.log.StartStream;
import org.marjoramgw.metrics.ResultCounters;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link LogClaimStore} with faults of the log service.
 *
 * @author The marjoramgw authors
 */
public class LogClaimStoreTests {

	private static final ClaimSettings SETTINGS = new ClaimSettings(4, 900_000, 1_500, 5, 1_000, 20);

	private static final RecordedResult RESULT = new RecordedResult(201, "text/plain", "booked");

	private static final ClaimDecision WON = new ClaimDecision.Won();

	private static final String STREAM = ClaimPartitions.streamOf("account", "k", 4);

	private static final String KEY_OF_SAME_PARTITION = IntStream.range(0, 1_000)
		.mapToObj((number) -> "other" + number)
		.filter((key) -> STREAM.equals(ClaimPartitions.streamOf("account", key, 4)))
		.findFirst()
		.orElseThrow();

	private MemoryLog log;

	@BeforeMethod
	public void createLog() {
		this.log = new MemoryLog(new SystemMillisClock());
	}

	private LogClaimStore newStore(String processId, long incarnation) {
		return new LogClaimStore(this.log, SETTINGS, new ProcessIncarnation(processId, incarnation),
				new SystemMillisClock(), new ResultCounters(new MetricRegistry()));
	}

	private static ClaimKey key(String key, String body) {
		String digest = Hashing.sha256().hashBytes(body.getBytes()).toString();
		return new ClaimKey("account", key, digest, UUID.randomUUID().toString());
	}

	private static ClaimDecision claim(ClaimStore store, ClaimKey key) {
		return store.claim(key).toCompletableFuture().join();
	}

	private static ClaimDecision refused(ResultCode code) {
		return new ClaimDecision.Refused(code);
	}

	@DataProvider
	public Object[][] faults() {
		return new Object[][] { { AppendFault.NONE }, { AppendFault.REFUSED }, { AppendFault.LOST_BEFORE },
				{ AppendFault.LOST_AFTER }, { AppendFault.LATE } };
	}

	@Test(dataProvider = "faults")
	public void grantsOneClaimAndRepeatsItsResult(AppendFault fault) {
		try (LogClaimStore first = newStore("a", 1); LogClaimStore second = newStore("b", 1)) {
			ClaimKey key = key("k", "x");
			this.log.failNextAppend(fault);
			Assert.assertEquals(claim(first, key), WON);
			Assert.assertEquals(claim(second, key("k", "x")), refused(ResultCode.KEY_IN_PROGRESS));
			this.log.deliverLate();
			this.log.failNextAppend(fault);
			first.recordResult(key, RESULT);
			first.close();
			Assert.assertEquals(claim(second, key("k", "x")), new ClaimDecision.Repeated(RESULT));
			Assert.assertEquals(claim(second, key("k", "y")), refused(ResultCode.KEY_REUSED));
		}
	}

	@Test
	public void releasedKeyCanBeClaimedAgain() {
		try (LogClaimStore first = newStore("a", 1); LogClaimStore second = newStore("b", 1)) {
			ClaimKey key = key("k", "x");
			Assert.assertEquals(claim(first, key), WON);
			first.release(key);
			first.close();
			Assert.assertEquals(claim(second, key("k", "x")), WON);
		}
	}

	@Test
	public void restartOfTheHolderLeavesTheOutcomeUnknown() throws Exception {
		try (LogClaimStore first = newStore("a", 1);
				LogClaimStore second = newStore("b", 1);
				LogClaimStore third = newStore("a", 2)) {
			Assert.assertEquals(claim(first, key("k", "x")), WON);
			Assert.assertEquals(claim(third, key("k", "x")), refused(ResultCode.KEY_OUTCOME_UNKNOWN));
			Assert.assertEquals(claim(second, key("k", "x")), refused(ResultCode.KEY_IN_PROGRESS));
			new StartStream(this.log).register(new StartRecord("a", 2));
			Assert.assertEquals(claim(second, key("k", "x")), refused(ResultCode.KEY_OUTCOME_UNKNOWN));
		}
	}

	@Test
	public void refusesClaimsAsNotRunWhileTheLogIsUnavailable() {
		try (LogClaimStore store = newStore("a", 1)) {
			this.log.setUnavailable(true);
			Assert.assertEquals(claim(store, key("k", "x")), refused(ResultCode.CLAIM_UNAVAILABLE));
			this.log.setUnavailable(false);
			Assert.assertEquals(claim(store, key("k", "x")), WON);
		}
	}

	@DataProvider
	public Object[][] nextClaimants() {
		return new Object[][] { { true }, { false } };
	}

	@Test(dataProvider = "nextClaimants")
	public void releasesAClaimThatTimedOutAfterALostResponse(boolean sameProcess) throws InterruptedException {
		try (LogClaimStore store = newStore("a", 1); LogClaimStore other = newStore("b", 1)) {
			Assert.assertEquals(claim(store, key(KEY_OF_SAME_PARTITION, "x")), WON);
			this.log.failNextAppend(AppendFault.LATE);
			var decision = store.claim(key("k", "x"));
			while (this.log.lateCount() == 0) {
				Thread.onSpinWait();
			}
			this.log.setUnavailable(true);
			Assert.assertEquals(decision.toCompletableFuture().join(), refused(ResultCode.CLAIM_UNAVAILABLE));
			int recordCount = this.log.all(STREAM).size();
			this.log.setUnavailable(false);
			while (this.log.all(STREAM).size() == recordCount) {
				Thread.sleep(1);
			}
			this.log.deliverLate();
			Assert.assertEquals(claim(sameProcess ? store : other, key("k", "x")), WON);
		}
	}

	@Test
	public void refusesAKeyOlderThanTheWindow() {
		try (LogClaimStore store = newStore("a", 1)) {
			long oldMillis = System.currentTimeMillis() - SETTINGS.windowMillis() - 1_000;
			Assert.assertEquals(claim(store, key(version7(oldMillis), "x")), refused(ResultCode.KEY_EXPIRED));
			Assert.assertEquals(claim(store, key(version7(System.currentTimeMillis()), "x")), WON);
		}
	}

	@DataProvider
	public Object[][] unrecordedBodies() {
		return new Object[][] { { "x".repeat(21) }, { null } };
	}

	@Test(dataProvider = "unrecordedBodies")
	public void refusesToRepeatAResultWithoutARecordedBody(String body) {
		try (LogClaimStore store = newStore("a", 1); LogClaimStore other = newStore("b", 1)) {
			ClaimKey key = key("k", "x");
			Assert.assertEquals(claim(store, key), WON);
			store.recordResult(key, new RecordedResult(200, "text/plain", body));
			store.close();
			Assert.assertEquals(claim(other, key("k", "x")), refused(ResultCode.ANSWER_NOT_KEPT));
		}
	}

	private static String version7(long millis) {
		String hex = String.format("%012x", millis);
		return hex.substring(0, 8) + "-" + hex.substring(8) + "-7000-8000-000000000000";
	}

}
