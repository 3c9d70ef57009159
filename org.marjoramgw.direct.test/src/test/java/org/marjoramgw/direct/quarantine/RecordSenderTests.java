package org.marjoramgw.direct.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.direct.Fixtures;
import org.marjoramgw.direct.follow.AppendResult;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPage;
import org.marjoramgw.direct.follow.TopicSlice;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.time.Timers;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link RecordSender}.
 *
 * @author The marjoramgw authors
 */
public class RecordSenderTests {

	private static final KeyedRecord FIRST = Fixtures.record("first", "1", 0);

	private static final KeyedRecord SECOND = Fixtures.record("second", "2", 0);

	@Test
	public void failedCallIsRepeatedInOrder() {
		Topic topic = new Topic();
		List<Runnable> scheduled = new ArrayList<>();
		RecordSender sender = sender(topic, scheduled);
		sender.send(() -> FIRST);
		sender.send(() -> SECOND);
		topic.results.get(0).completeExceptionally(new IllegalStateException("down"));
		scheduled.remove(0).run();
		topic.results.get(1).complete(null);
		Assert.assertEquals(topic.calls, List.of(List.of(FIRST), List.of(FIRST, SECOND)));
	}

	@Test
	public void recordThatCantBeEncodedHoldsUpNoOther() {
		Topic topic = new Topic();
		RecordSender sender = sender(topic, new ArrayList<>());
		sender.send(() -> {
			throw new IllegalArgumentException("key too long");
		});
		sender.send(() -> SECOND);
		Assert.assertEquals(topic.calls, List.of(List.of(SECOND)));
	}

	private static RecordSender sender(Topic topic, List<Runnable> scheduled) {
		return new RecordSender(topic, (delayMillis, task) -> {
			scheduled.add(task);
			return Timers.Handle.NONE;
		}, new Backoff(100, 200, new Random(1)));
	}

	private static final class Topic implements AppendableTopic {

		private final List<List<KeyedRecord>> calls = new ArrayList<>();

		private final List<CompletableFuture<Void>> results = new ArrayList<>();

		@Override
		public CompletionStage<Void> append(List<KeyedRecord> records) {
			CompletableFuture<Void> result = new CompletableFuture<>();
			this.calls.add(records);
			this.results.add(result);
			return result;
		}

		@Override
		public CompletionStage<AppendResult> appendAt(List<KeyedRecord> records, long endOffset) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletionStage<TopicPage> readLatest(String afterKey) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletionStage<TopicSlice> read(long fromOffset, long waitMillis) {
			return new CompletableFuture<>();
		}

	}

}
