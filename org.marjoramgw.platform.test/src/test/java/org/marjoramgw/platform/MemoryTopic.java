package org.marjoramgw.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.direct.follow.AppendResult;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPage;
import org.marjoramgw.direct.follow.TopicSlice;

/**
 * Topic in memory that several processes of a test share; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class MemoryTopic implements AppendableTopic {

	private final List<KeyedRecord> records = new ArrayList<>();

	private CompletableFuture<Void> appended = new CompletableFuture<>();

	@Override
	public synchronized CompletionStage<TopicPage> readLatest(String afterKey) {
		Map<String, KeyedRecord> latest = new LinkedHashMap<>();
		this.records.forEach((record) -> latest.put(record.key(), record));
		latest.values().removeIf((record) -> record.value().isEmpty());
		return CompletableFuture
			.completedFuture(new TopicPage(List.copyOf(latest.values()), false, this.records.size()));
	}

	@Override
	public synchronized CompletionStage<TopicSlice> read(long fromOffset, long waitMillis) {
		if (fromOffset < this.records.size()) {
			return CompletableFuture.completedFuture(slice(fromOffset));
		}
		return this.appended.copy()
			.completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
			.thenApply((ignored) -> slice(fromOffset));
	}

	@Override
	public CompletionStage<Void> append(List<KeyedRecord> added) {
		return appendIf(added, -1).thenApply((result) -> null);
	}

	@Override
	public CompletionStage<AppendResult> appendAt(List<KeyedRecord> added, long endOffset) {
		return appendIf(added, endOffset);
	}

	private CompletionStage<AppendResult> appendIf(List<KeyedRecord> added, long endOffset) {
		CompletableFuture<Void> waiting;
		AppendResult result;
		synchronized (this) {
			int first = this.records.size();
			if (endOffset >= 0 && endOffset != first) {
				return CompletableFuture.completedFuture(new AppendResult(false, 0, first));
			}
			added.forEach(
					(record) -> this.records.add(new KeyedRecord(record.key(), record.value(), this.records.size())));
			result = new AppendResult(true, first, this.records.size());
			waiting = this.appended;
			this.appended = new CompletableFuture<>();
		}
		waiting.complete(null);
		return CompletableFuture.completedFuture(result);
	}

	private synchronized TopicSlice slice(long fromOffset) {
		return new TopicSlice(List.copyOf(this.records.subList((int) fromOffset, this.records.size())),
				this.records.size(), this.records.size());
	}

}
