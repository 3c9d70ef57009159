package org.marjoramgw.direct.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.direct.Fixtures;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link TopicReader}.
 *
 * @author The marjoramgw authors
 */
public class TopicReaderTests {

	/** Guards against a conclusion from a read that didn't see all records. */
	@Test
	public void emptyReadBeforeTheEndIsAFailure() {
		List<String> received = new ArrayList<>();
		TopicReader reader = new TopicReader(new ShortTopic(), new ManualMillisClock(1_000),
				new TopicReader.Listener() {

					@Override
					public void onSnapshot(List<KeyedRecord> records, boolean otherEra) {
						received.add("snapshot " + records.size());
					}

					@Override
					public void onRecords(List<KeyedRecord> records) {
						received.add("records " + records.size());
					}

				});
		Assert.assertFalse(reader.read().toCompletableFuture().isCompletedExceptionally());
		Assert.assertTrue(reader.read().toCompletableFuture().isCompletedExceptionally());
		Assert.assertEquals(received, List.of("snapshot 1", "records 0"));
	}

	/** Topic whose reads return nothing although it has more records. */
	private static final class ShortTopic implements CompactedTopic {

		@Override
		public CompletionStage<TopicPage> readLatest(String afterKey) {
			return CompletableFuture.completedFuture(new TopicPage(List.of(Fixtures.record("a", "1", 3)), false, 7));
		}

		@Override
		public CompletionStage<TopicSlice> read(long fromOffset, long waitMillis) {
			return CompletableFuture.completedFuture(new TopicSlice(List.of(), fromOffset, fromOffset + 2));
		}

	}

}
