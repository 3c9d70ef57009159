package org.marjoramgw.direct.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.errors.StoreUnavailableException;

/**
 * One read of the latest records of a topic, page by page.
 *
 * @author The marjoramgw authors
 */
final class SnapshotReader {

	private final CompactedTopic topic;

	private final List<KeyedRecord> records = new ArrayList<>();

	private TopicPosition end;

	/**
	 * Creates a reader.
	 * @param topic the topic
	 */
	SnapshotReader(CompactedTopic topic) {
		this.topic = topic;
	}

	/**
	 * Reads all pages.
	 * @return the records
	 */
	CompletionStage<TopicSnapshot> read() {
		return readAfter("");
	}

	private CompletionStage<TopicSnapshot> readAfter(String key) {
		return this.topic.readLatest(key).thenCompose(this::onPage);
	}

	private CompletionStage<TopicSnapshot> onPage(TopicPage page) {
		if (this.end != null && page.era() != this.end.era()) {
			return CompletableFuture.failedFuture(
					new StoreUnavailableException("pages of eras " + this.end.era() + " and " + page.era(), null));
		}
		this.records.addAll(page.records());
		if (this.end == null) {
			// What was appended between two pages is read again.
			this.end = new TopicPosition(page.era(), page.endOffset());
		}
		if (!page.hasMore()) {
			return CompletableFuture.completedFuture(new TopicSnapshot(List.copyOf(this.records), this.end));
		}
		if (page.records().isEmpty()) {
			return CompletableFuture
				.failedFuture(new StoreUnavailableException("page without records before the last one", null));
		}
		return readAfter(page.records().get(page.records().size() - 1).key());
	}

}
