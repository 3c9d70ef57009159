package org.marjoramgw.direct.follow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;

import org.marjoramgw.errors.StoreUnavailableException;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link CompactedTopic#readSnapshot}, by which followers, the list of peers and
 * the usage reports read a topic.
 *
 * @author The marjoramgw authors
 */
public class TopicSnapshotTests {

	private PagedTopic topic;

	@BeforeMethod
	public void createTopic() {
		this.topic = new PagedTopic();
	}

	/** Guards against records that are lost because they came between two pages. */
	@Test
	public void endIsThatOfTheFirstPage() throws Exception {
		this.topic.pages.add(new TopicPage(List.of(item("a"), item("b")), true, 7));
		this.topic.pages.add(new TopicPage(List.of(item("c")), false, 9));
		TopicSnapshot snapshot = this.topic.readSnapshot().toCompletableFuture().get();
		Assert.assertEquals(snapshot,
				new TopicSnapshot(List.of(item("a"), item("b"), item("c")), new TopicPosition(0, 7)));
		Assert.assertEquals(this.topic.requests, List.of("", "b"));
	}

	/** Guards against an empty page that passes for the end of the topic. */
	@Test
	public void emptyPageBeforeTheLastOneIsAFailure() throws Exception {
		this.topic.pages.add(new TopicPage(List.of(item("a")), true, 7));
		this.topic.pages.add(new TopicPage(List.of(), true, 7));
		assertFails(StoreUnavailableException.class);
	}

	@Test
	public void emptyTopicIsASnapshot() throws Exception {
		this.topic.pages.add(new TopicPage(List.of(), false, 0));
		Assert.assertEquals(this.topic.readSnapshot().toCompletableFuture().get(),
				new TopicSnapshot(List.of(), new TopicPosition(0, 0)));
	}

	@Test
	public void failureOfAPageIsAFailure() throws Exception {
		this.topic.pages.add(new TopicPage(List.of(item("a")), true, 7));
		assertFails(IllegalStateException.class);
	}

	private void assertFails(Class<? extends Exception> type) throws Exception {
		CompletableFuture<TopicSnapshot> snapshot = this.topic.readSnapshot().toCompletableFuture();
		ExecutionException failure = Assert.expectThrows(ExecutionException.class, snapshot::get);
		Assert.assertEquals(failure.getCause().getClass(), type);
	}

	private static KeyedRecord item(String key) {
		return new KeyedRecord(key, Optional.empty(), 1);
	}

	private static final class PagedTopic implements CompactedTopic {

		private final Deque<TopicPage> pages = new ArrayDeque<>();

		private final List<String> requests = new ArrayList<>();

		@Override
		public CompletionStage<TopicPage> readLatest(String afterKey) {
			this.requests.add(afterKey);
			return this.pages.isEmpty() ? CompletableFuture.failedFuture(new IllegalStateException("store away"))
					: CompletableFuture.completedFuture(this.pages.removeFirst());
		}

		@Override
		public CompletionStage<TopicSlice> read(long fromOffset, long waitMillis) {
			throw new UnsupportedOperationException("only snapshots are read");
		}

	}

}
