package org.marjoramgw.direct.follow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.direct.Fixtures;
import org.marjoramgw.errors.RecordsExpiredException;
import org.marjoramgw.errors.StoreUnavailableException;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link TopicFollower} against a scripted topic.
 *
 * @author The marjoramgw authors
 */
public class TopicFollowerTests {

	private static final long WAIT_MILLIS = 1_500;

	private static final long GATHER_MILLIS = 250;

	private static final long BASE_BACKOFF_MILLIS = 200;

	private static final long MAX_BACKOFF_MILLIS = 900;

	@Test
	public void followsFromEndOffsetOfFirstPage() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(Fixtures.record("a", "1", 3)), true, 7));
		Assert.assertEquals(fixture.topic.requests, List.of("newest ''", "newest 'a'"));
		fixture.topic.completePage(new TopicPage(List.of(Fixtures.record("b", "2", 8)), false, 9));
		Assert.assertEquals(fixture.events, List.of("snapshot a b", "confirmed 10000"));
		Assert.assertEquals(fixture.topic.lastRequest(), "read 7");
	}

	@Test
	public void confirmationDatesFromSendingTheRead() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		fixture.clock.advanceMillis(1_500);
		fixture.topic.completeSlice(new TopicSlice(List.of(), 7, 7));
		Assert.assertEquals(fixture.lastEvent(), "confirmed 10000");
		fixture.clock.advanceMillis(200);
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("a", "1", 7)), 8, 8));
		Assert.assertEquals(fixture.events.subList(fixture.events.size() - 2, fixture.events.size()),
				List.of("records a", "confirmed 11500"));
		fixture.runScheduled();
		Assert.assertEquals(fixture.topic.lastRequest(), "read 8");
	}

	@Test
	public void changesInQuickSuccessionAreReadTogether() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("a", "1", 7)), 8, 8));
		Assert.assertEquals(fixture.topic.requests, List.of("newest ''", "read 7"));
		Assert.assertEquals(fixture.delays, List.of(GATHER_MILLIS));
		fixture.runScheduled();
		fixture.topic.completeSlice(new TopicSlice(List.of(), 8, 8));
		Assert.assertEquals(fixture.topic.requests, List.of("newest ''", "read 7", "read 8", "read 8"),
				"a read without records is followed by the next one at once");
	}

	@Test
	public void failedReadsBackOffUntilOneSucceeds() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		for (int failure = 0; failure < 6; failure++) {
			fixture.topic.failSlice(new StoreUnavailableException("down", null));
			fixture.runScheduled();
		}
		assertBetween(fixture.delays.get(0), BASE_BACKOFF_MILLIS / 2, BASE_BACKOFF_MILLIS);
		assertBetween(fixture.delays.get(5), MAX_BACKOFF_MILLIS / 2, MAX_BACKOFF_MILLIS);
		Assert.assertEquals(fixture.lossCount, 1, "contact is lost once");
		fixture.topic.completeSlice(new TopicSlice(List.of(), 7, 7));
		fixture.topic.failSlice(new StoreUnavailableException("down", null));
		assertBetween(fixture.delays.get(6), BASE_BACKOFF_MILLIS / 2, BASE_BACKOFF_MILLIS);
		Assert.assertEquals(fixture.lossCount, 2);
	}

	private static void assertBetween(long value, long min, long max) {
		Assert.assertTrue(min <= value && value <= max, value + " is not between " + min + " and " + max);
	}

	/**
	 * Guards against a state that is not confirmed for as long as a read waits, after
	 * contact was lost, and against reads that a slow store never answers in time.
	 */
	@Test
	public void everyOtherRetryDoesNotWaitForRecords() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		for (int failure = 0; failure < 3; failure++) {
			fixture.topic.failSlice(new StoreUnavailableException("down", null));
			fixture.runScheduled();
		}
		fixture.topic.completeSlice(new TopicSlice(List.of(), 7, 7));
		Assert.assertEquals(fixture.topic.waits, List.of(WAIT_MILLIS, 0L, WAIT_MILLIS, 0L, WAIT_MILLIS));
	}

	@Test
	public void expiredRecordsTriggerNewSnapshot() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		fixture.topic.failSlice(new RecordsExpiredException("t", 7));
		Assert.assertEquals(fixture.topic.lastRequest(), "newest ''");
		Assert.assertFalse(fixture.events.contains("unreachable"));
	}

	/**
	 * Guards against records that are skipped since their offsets were read in another
	 * era, and against a confirmation by a read of another era.
	 */
	@Test
	public void answerOfAnotherEraTriggersNewSnapshot() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(Fixtures.record("a", "1", 3)), false, 7, 4));
		fixture.clock.advanceMillis(400);
		fixture.follower.confirm();
		fixture.topic.completeLastSlice(new TopicSlice(List.of(), 7, 7, 5));
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("b", "1", 7)), 8, 8, 5));
		Assert.assertEquals(fixture.events, List.of("snapshot a", "confirmed 10000"));
		Assert.assertEquals(fixture.topic.lastRequest(), "newest ''");
		fixture.topic.completePage(new TopicPage(List.of(Fixtures.record("b", "1", 7)), false, 8, 5));
		Assert.assertEquals(fixture.lastEvent(), "confirmed 10400");
		Assert.assertEquals(fixture.topic.lastRequest(), "read 8");
	}

	/** Guards against a store that is asked without a pause while it has no records. */
	@Test
	public void repeatedExpiryBacksOff() {
		Fixture fixture = new Fixture();
		for (int expiry = 0; expiry < 3; expiry++) {
			fixture.topic.completePage(new TopicPage(List.of(), false, 7));
			fixture.topic.failSlice(new RecordsExpiredException("t", 7));
			if (expiry > 0) {
				fixture.runScheduled();
			}
		}
		Assert.assertEquals(fixture.delays.size(), 2, "the first new snapshot is read at once");
		Assert.assertEquals(fixture.topic.lastRequest(), "newest ''");
	}

	/** Guards against reads that end without a line when the listener has a fault. */
	@Test
	public void faultOfTheListenerDoesNotEndTheReads() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		fixture.fault = true;
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("a", "1", 7)), 8, 8));
		Assert.assertEquals(fixture.lastEvent(), "unreachable");
		fixture.runScheduled();
		fixture.topic.completePage(new TopicPage(List.of(Fixtures.record("a", "1", 7)), false, 8));
		Assert.assertEquals(fixture.lastEvent(), "unreachable");
		fixture.fault = false;
		fixture.runScheduled();
		fixture.topic.completePage(new TopicPage(List.of(Fixtures.record("a", "1", 7)), false, 8));
		Assert.assertEquals(fixture.lastEvent(), "confirmed 10000");
		Assert.assertEquals(fixture.topic.lastRequest(), "read 8");
	}

	/** Guards against a snapshot whose pages belong to different histories. */
	@Test
	public void pagesOfTwoErasAreNoSnapshot() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(Fixtures.record("a", "1", 3)), true, 7, 4));
		fixture.topic.completePage(new TopicPage(List.of(Fixtures.record("b", "1", 4)), false, 7, 5));
		Assert.assertEquals(fixture.events, List.of("unreachable"));
		fixture.runScheduled();
		Assert.assertEquals(fixture.topic.lastRequest(), "newest ''", "read from the first page again");
	}

	@Test
	public void failedReadIsRetriedFromSameOffset() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		fixture.topic.failSlice(new StoreUnavailableException("down", null));
		Assert.assertEquals(fixture.lastEvent(), "unreachable");
		Assert.assertEquals(fixture.scheduled.size(), 1);
		fixture.scheduled.remove().run();
		Assert.assertEquals(fixture.topic.lastRequest(), "read 7");
	}

	/**
	 * Guards against records that are delivered twice or lost when a read on demand
	 * overtakes the pending one.
	 */
	@Test
	public void recordsReadOnDemandAreDeliveredOnce() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		fixture.clock.advanceMillis(400);
		CompletableFuture<Void> confirmed = fixture.follower.confirm().toCompletableFuture();
		fixture.topic.completeLastSlice(new TopicSlice(List.of(Fixtures.record("a", "1", 7)), 8, 8));
		Assert.assertTrue(confirmed.isDone() && !confirmed.isCompletedExceptionally());
		List<String> events = List.of("snapshot", "confirmed 10000", "records a", "confirmed 10400");
		Assert.assertEquals(fixture.events, events);
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("a", "1", 7)), 8, 8));
		Assert.assertEquals(fixture.events, events, "the pending read came second");
		fixture.runScheduled();
		Assert.assertEquals(fixture.topic.lastRequest(), "read 8");
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("b", "2", 8)), 9, 9));
		Assert.assertEquals(fixture.lastEvent(), "confirmed 10400");
		Assert.assertTrue(fixture.events.contains("records b"));
	}

	@Test
	public void emptyReadOnDemandConfirms() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		fixture.clock.advanceMillis(400);
		fixture.follower.confirm();
		fixture.topic.completeLastSlice(new TopicSlice(List.of(), 7, 7));
		Assert.assertEquals(fixture.lastEvent(), "confirmed 10400");
	}

	/**
	 * Guards against a configuration that counts as confirmed although newer ones, which
	 * take keys away, are still unread.
	 */
	@Test
	public void readThatDoesNotReachTheEndConfirmsNothing() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		fixture.clock.advanceMillis(9_000);
		fixture.topic.failSlice(new StoreUnavailableException("down", null));
		fixture.runScheduled();
		fixture.clock.advanceMillis(10);
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("a", "1", 7)), 8, 9));
		Assert.assertEquals(fixture.lastEvent(), "records a");
		Assert.assertEquals(fixture.topic.lastRequest(), "read 8", "the rest is read at once");
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("a", "2", 8)), 9, 9));
		Assert.assertEquals(fixture.lastEvent(), "confirmed 19010");
	}

	/**
	 * Guards against a topic that is never confirmed because it grows as fast as it is
	 * read.
	 */
	@Test
	public void recordsAppendedMeanwhileDoNotPostponeTheConfirmation() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		fixture.clock.advanceMillis(100);
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("a", "1", 7)), 8, 9));
		fixture.clock.advanceMillis(100);
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("a", "2", 8)), 9, 10));
		Assert.assertEquals(fixture.lastEvent(), "confirmed 10000", "all that the first of the reads could contain");
		fixture.clock.advanceMillis(100);
		fixture.topic.completeSlice(new TopicSlice(List.of(Fixtures.record("a", "3", 9)), 10, 11));
		Assert.assertEquals(fixture.lastEvent(), "confirmed 10100");
	}

	@Test
	public void emptyReadBeforeTheEndConfirmsNothing() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(), false, 7));
		int eventCount = fixture.events.size();
		fixture.topic.completeSlice(new TopicSlice(List.of(), 7, 9));
		Assert.assertEquals(fixture.events.size(), eventCount);
		Assert.assertEquals(fixture.delays, List.of(GATHER_MILLIS), "the store is not asked without a pause");
		fixture.follower.confirm();
		fixture.topic.completeLastSlice(new TopicSlice(List.of(), 7, 9));
		Assert.assertEquals(fixture.events.size(), eventCount);
	}

	/**
	 * Guards against a snapshot that counts as complete although its last page is
	 * missing: the servers on that page would be gone.
	 */
	@Test
	public void emptyPageBeforeTheLastOneIsAFailure() {
		Fixture fixture = new Fixture();
		fixture.topic.completePage(new TopicPage(List.of(Fixtures.record("a", "1", 3)), true, 7));
		fixture.topic.completePage(new TopicPage(List.of(), true, 7));
		Assert.assertEquals(fixture.events, List.of("unreachable"));
		fixture.runScheduled();
		Assert.assertEquals(fixture.topic.lastRequest(), "newest ''", "read from the first page again");
	}

	private static final class Fixture implements TopicListener {

		private final ManualMillisClock clock = new ManualMillisClock(10_000);

		private final ScriptedTopic topic = new ScriptedTopic();

		private final List<String> events = new ArrayList<>();

		private final Deque<Runnable> scheduled = new ArrayDeque<>();

		private final List<Long> delays = new ArrayList<>();

		private final TopicFollower follower;

		private boolean fault;

		private int lossCount;

		private Fixture() {
			AgeClock ages = new AgeClock(this.clock, this.clock);
			this.follower = new TopicFollower("t", this.topic, this, ages, (delayMillis, task) -> {
				this.scheduled.add(task);
				this.delays.add(delayMillis);
				return () -> this.scheduled.remove(task);
			}, new ReadSchedule(WAIT_MILLIS, GATHER_MILLIS,
					new Backoff(BASE_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, TestSeed.random(1))),
					new ResultCounters(new MetricRegistry()), () -> this.lossCount++);
			this.follower.start();
		}

		private void runScheduled() {
			this.scheduled.remove().run();
		}

		private String lastEvent() {
			return this.events.get(this.events.size() - 1);
		}

		@Override
		public void onSnapshot(List<KeyedRecord> records) {
			failIfFaulty();
			this.events.add("snapshot" + keys(records));
		}

		@Override
		public void onRecords(List<KeyedRecord> records) {
			failIfFaulty();
			this.events.add("records" + keys(records));
		}

		@Override
		public void onConfirmed(ClockReading confirmedAt) {
			this.events.add("confirmed " + confirmedAt.monotonicMillis());
		}

		@Override
		public void onUnreachable() {
			this.events.add("unreachable");
		}

		private void failIfFaulty() {
			if (this.fault) {
				throw new IllegalStateException("fault of the listener");
			}
		}

		private static String keys(List<KeyedRecord> records) {
			StringBuilder keys = new StringBuilder();
			records.forEach((record) -> keys.append(' ').append(record.key()));
			return keys.toString();
		}

	}

	private static final class ScriptedTopic implements CompactedTopic {

		private final List<String> requests = new ArrayList<>();

		private final List<Long> waits = new ArrayList<>();

		private final Deque<CompletableFuture<TopicPage>> pages = new ArrayDeque<>();

		private final Deque<CompletableFuture<TopicSlice>> slices = new ArrayDeque<>();

		@Override
		public CompletionStage<TopicPage> readLatest(String afterKey) {
			this.requests.add("newest '" + afterKey + "'");
			this.pages.add(new CompletableFuture<>());
			return this.pages.getLast();
		}

		@Override
		public CompletionStage<TopicSlice> read(long fromOffset, long waitMillis) {
			this.requests.add("read " + fromOffset);
			this.waits.add(waitMillis);
			this.slices.add(new CompletableFuture<>());
			return this.slices.getLast();
		}

		private String lastRequest() {
			return this.requests.get(this.requests.size() - 1);
		}

		private void completePage(TopicPage page) {
			this.pages.removeFirst().complete(page);
		}

		private void completeSlice(TopicSlice slice) {
			this.slices.removeFirst().complete(slice);
		}

		private void completeLastSlice(TopicSlice slice) {
			this.slices.removeLast().complete(slice);
		}

		private void failSlice(Exception failure) {
			this.slices.removeFirst().completeExceptionally(failure);
		}

	}

}
