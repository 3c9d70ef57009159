package org.marjoramgw.config;

import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.ResultCode;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.config.internal.ConfigurationRecord;
import org.marjoramgw.config.internal.ConfigurationRecordCodec;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.log.MemoryLog;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.wire.Message;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link LogConfigurationSource}.
 *
 * @author The marjoramgw authors
 */
public class LogConfigurationSourceTests {

	private static final long POLL_MILLIS = 10;

	private static final long DEADLINE_MILLIS = 10_000;

	private static final String STREAM = "config";

	private MemoryLog log;

	private ResultCounters counters;

	@BeforeMethod
	public void createLog() {
		this.log = new MemoryLog(new SystemMillisClock());
		this.counters = new ResultCounters(new MetricRegistry());
	}

	private LogConfigurationSource source() {
		return new LogConfigurationSource(this.log, new ConfigurationParser(), new SystemMillisClock(), POLL_MILLIS,
				() -> 0, TestSeed.random(1), this.counters);
	}

	private static String text(int targetMillis) {
		return "[classes.a]\ntier = 1\ncompletion_ms = " + targetMillis + "\n";
	}

	private void publish(String text, long base) throws CodedException {
		PublishResult result = new ConfigurationPublisher(this.log, new SystemMillisClock(), DEADLINE_MILLIS)
			.publish(text, base, "ana");
		Assert.assertEquals(result, new PublishResult.Accepted(base + 1));
	}

	private static long revision(ConfigurationSource source) {
		return source.current().map(Configuration::revision).orElse(0L);
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long deadline = System.currentTimeMillis() + DEADLINE_MILLIS;
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.currentTimeMillis() < deadline, "not reached in time");
			Thread.sleep(POLL_MILLIS);
		}
	}

	@Test
	public void activatesAcceptedRevisions() throws Exception {
		try (LogConfigurationSource source = source()) {
			publish(text(1), 0);
			await(() -> revision(source) == 1);
			publish(text(2), 1);
			await(() -> revision(source) == 2);
			Assert.assertEquals(source.current().get().classes().get("a").completionMillis(), 2);
			Assert.assertEquals(source.currentText().get().revision(), 2);
		}
	}

	@Test
	public void keepsTheLastReadableRevisionAndSkipsAnUnreadableOne() throws Exception {
		try (LogConfigurationSource source = source()) {
			publish(text(1), 0);
			publish("no class at all", 1);
			await(() -> this.counters.countOf(ResultCode.REVISION_UNREADABLE) == 1);
			// The newest revision is tried first; the last readable one is activated
			// after it.
			await(() -> revision(source) == 1);
			Assert.assertEquals(source.currentText().get().revision(), 2);
			publish(text(3), 2);
			await(() -> revision(source) == 3);
		}
	}

	@Test
	public void acceptsOnlyNewerTextsFromPeersWhileTheLogIsUnavailable() throws Exception {
		this.log.setUnavailable(true);
		try (LogConfigurationSource source = source()) {
			source.offerFromPeer(new Message.ConfigText(5, 9, text(5)));
			Assert.assertEquals(revision(source), 5);
			source.offerFromPeer(new Message.ConfigText(4, 8, text(4)));
			source.offerFromPeer(new Message.ConfigText(5, 9, text(6)));
			Assert.assertEquals(source.current().get().classes().get("a").completionMillis(), 5);
			Assert.assertEquals(source.currentText().get(), new Message.ConfigText(5, 9, text(5)));
			await(() -> this.counters.countOf(ResultCode.LOG_AWAY) > 0);
		}
	}

	@Test
	public void neverRevertsToAnOlderRevisionInTheLog() throws Exception {
		publish(text(1), 0);
		try (LogConfigurationSource source = source()) {
			source.offerFromPeer(new Message.ConfigText(5, 9, text(5)));
			await(() -> this.log.all(STREAM).size() > 1);
			Assert.assertEquals(revision(source), 5);
		}
	}

	@Test
	public void appendsACheckpointFromWhichALaterReaderStarts() throws Exception {
		publish(text(1), 0);
		try (LogConfigurationSource source = source()) {
			await(() -> this.log.all(STREAM).size() == 2);
			this.log.retain(STREAM, 1);
			try (LogConfigurationSource late = source()) {
				await(() -> revision(late) == 1);
			}
			Assert.assertEquals(new ConfigurationHistory(this.log).read().get(0).operator(), "ana");
		}
	}

	@Test
	public void continuesFromAPeerAfterRecordsExpiredUnread() throws Exception {
		publish(text(1), 0);
		publish(text(2), 1);
		this.log.retain(STREAM, 1);
		try (LogConfigurationSource source = source()) {
			source.offerFromPeer(new Message.ConfigText(2, 2, text(2)));
			publishRaw(text(3), 2);
			await(() -> revision(source) == 3);
		}
	}

	@Test
	public void manyProcessesAppendFewCheckpoints() throws Exception {
		publish(text(1), 0);
		int processes = 16;
		LogConfigurationSource[] sources = new LogConfigurationSource[processes];
		for (int index = 0; index < processes; index++) {
			sources[index] = new LogConfigurationSource(this.log, new ConfigurationParser(), new SystemMillisClock(),
					POLL_MILLIS, () -> processes, new Random(TestSeed.value() + index), this.counters);
		}
		await(() -> this.log.all(STREAM).size() > 1);
		Thread.sleep(POLL_MILLIS * 200);
		int checkpoints = this.log.all(STREAM).size() - 1;
		for (LogConfigurationSource source : sources) {
			source.close();
		}
		Assert.assertTrue(checkpoints <= processes / 4, checkpoints + " checkpoints");
	}

	private void publishRaw(String text, long base) throws CodedException {
		String digest = ConfigurationRecordCodec.sha256(text);
		ConfigurationRecord record = new ConfigurationRecord.Publish("x", base, digest, text, "ivo");
		this.log.append(STREAM, List.of(new ConfigurationRecordCodec().encode(record)));
	}

}
