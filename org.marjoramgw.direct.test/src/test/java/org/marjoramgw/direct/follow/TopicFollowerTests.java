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
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link TopicFollower} against a topic whose answers the test gives.
 *
 * @author The marjoramgw authors
 */
public class TopicFollowerTests {

	@Test
	public void readsPagesThenFollowsFromTheEndOfTheFirst() {
		Run run = new Run();
		run.topic.page(new TopicPage(List.of(Fixtures.record("a", "1", 3)), true, 7));
		Assert.assertEquals(run.topic.asked, List.of("newest ''", "newest 'a'"));
		run.topic.page(new TopicPage(List.of(Fixtures.record("b", "2", 8)), false, 9));
		Assert.assertEquals(run.seen, List.of("snapshot a b", "confirmed 10000"));
		Assert.assertEquals(run.topic.lastAsked(), "read 7");
	}

	@Test
	public void confirmationCountsFromWhenTheReadWasSent() {
		Run run = new Run();
		run.topic.page(new TopicPage(List.of(), false, 7));
		run.clock.advanceMillis(1_500);
		run.topic.slice(new TopicSlice(List.of(), 7));
		Assert.assertEquals(run.lastSeen(), "confirmed 10000");
		run.clock.advanceMillis(200);
		run.topic.slice(new TopicSlice(List.of(Fixtures.record("a", "1", 7)), 8));
		Assert.assertEquals(run.seen.subList(run.seen.size() - 2, run.seen.size()),
				List.of("records a", "confirmed 11500"));
		Assert.assertEquals(run.topic.lastAsked(), "read 8");
	}

	@Test
	public void expiredRecordsAreReplacedByTheNewestOfEachKey() {
		Run run = new Run();
		run.topic.page(new TopicPage(List.of(), false, 7));
		run.topic.fail(new RecordsExpiredException("t", 7));
		Assert.assertEquals(run.topic.lastAsked(), "newest ''");
		Assert.assertFalse(run.seen.contains("unreachable"));
	}

	@Test
	public void failedReadIsRepeatedAfterAPauseFromTheSameOffset() {
		Run run = new Run();
		run.topic.page(new TopicPage(List.of(), false, 7));
		run.topic.fail(new StoreUnavailableException("down", null));
		Assert.assertEquals(run.lastSeen(), "unreachable");
		Assert.assertEquals(run.later.size(), 1);
		run.later.remove().run();
		Assert.assertEquals(run.topic.lastAsked(), "read 7");
	}

	@Test
	public void confirmationBesideTheWaitingReadLeavesRecordsToIt() {
		Run run = new Run();
		run.topic.page(new TopicPage(List.of(), false, 7));
		run.clock.advanceMillis(400);
		run.follower.confirm();
		run.topic.answerLast(new TopicSlice(List.of(Fixtures.record("a", "1", 7)), 8));
		Assert.assertEquals(run.lastSeen(), "confirmed 10000");
		run.follower.confirm();
		run.topic.answerLast(new TopicSlice(List.of(), 7));
		Assert.assertEquals(run.lastSeen(), "confirmed 10400");
	}

	private static final class Run implements TopicListener {

		private final ManualMillisClock clock = new ManualMillisClock(10_000);

		private final ScriptedTopic topic = new ScriptedTopic();

		private final List<String> seen = new ArrayList<>();

		private final Deque<Runnable> later = new ArrayDeque<>();

		private final TopicFollower follower;

		private Run() {
			AgeClock ages = new AgeClock(this.clock, this.clock);
			this.follower = new TopicFollower("t", this.topic, this, ages, (delayMillis, task) -> {
				this.later.add(task);
				return () -> this.later.remove(task);
			}, 1_500, new ResultCounters(new MetricRegistry()));
			this.follower.start();
		}

		private String lastSeen() {
			return this.seen.get(this.seen.size() - 1);
		}

		@Override
		public void onSnapshot(List<KeyedRecord> records) {
			this.seen.add("snapshot" + keys(records));
		}

		@Override
		public void onRecords(List<KeyedRecord> records) {
			this.seen.add("records" + keys(records));
		}

		@Override
		public void onConfirmed(ClockReading moment) {
			this.seen.add("confirmed " + moment.monotonicMillis());
		}

		@Override
		public void onUnreachable() {
			this.seen.add("unreachable");
		}

		private static String keys(List<KeyedRecord> records) {
			StringBuilder keys = new StringBuilder();
			records.forEach((record) -> keys.append(' ').append(record.key()));
			return keys.toString();
		}

	}

	private static final class ScriptedTopic implements KeyedTopic {

		private final List<String> asked = new ArrayList<>();

		private final Deque<CompletableFuture<TopicPage>> pages = new ArrayDeque<>();

		private final Deque<CompletableFuture<TopicSlice>> slices = new ArrayDeque<>();

		@Override
		public CompletionStage<TopicPage> newest(String afterKey) {
			this.asked.add("newest '" + afterKey + "'");
			this.pages.add(new CompletableFuture<>());
			return this.pages.getLast();
		}

		@Override
		public CompletionStage<TopicSlice> read(long fromOffset, long waitMillis) {
			this.asked.add("read " + fromOffset);
			this.slices.add(new CompletableFuture<>());
			return this.slices.getLast();
		}

		private String lastAsked() {
			return this.asked.get(this.asked.size() - 1);
		}

		private void page(TopicPage page) {
			this.pages.removeFirst().complete(page);
		}

		private void slice(TopicSlice slice) {
			this.slices.removeFirst().complete(slice);
		}

		private void answerLast(TopicSlice slice) {
			this.slices.removeLast().complete(slice);
		}

		private void fail(Exception failure) {
			this.slices.removeFirst().completeExceptionally(failure);
		}

	}

}
