package org.marjoramgw.direct.peer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.marjoramgw.direct.follow.AppendResult;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPage;
import org.marjoramgw.direct.follow.TopicSlice;
import org.marjoramgw.errors.RecordsExpiredException;

/**
 * Topic in memory whose store may be away. Counts its calls.
 *
 * @author The marjoramgw authors
 */
final class MemoryTopic implements AppendableTopic {

	private static final int PAGE_SIZE = 2;

	private final List<KeyedRecord> records = new ArrayList<>();

	private long firstOffset;

	private boolean away;

	private int callCount;

	void setAway(boolean newAway) {
		this.away = newAway;
	}

	/**
	 * Forgets all records but the latest of each key.
	 */
	void compact() {
		this.firstOffset = this.records.size();
	}

	int callCount() {
		return this.callCount;
	}

	@Override
	public CompletionStage<Void> append(List<KeyedRecord> appended) {
		return call(() -> {
			appended.forEach(
					(record) -> this.records.add(new KeyedRecord(record.key(), record.value(), this.records.size())));
			return null;
		});
	}

	@Override
	public CompletionStage<AppendResult> appendAt(List<KeyedRecord> appended, long endOffset) {
		throw new UnsupportedOperationException("the list of entries is appended to without a condition");
	}

	@Override
	public CompletionStage<TopicPage> readLatest(String afterKey) {
		return call(() -> {
			Map<String, KeyedRecord> latest = new LinkedHashMap<>();
			this.records.forEach((record) -> latest.put(record.key(), record));
			List<KeyedRecord> rest = latest.values()
				.stream()
				.filter((record) -> record.value().isPresent() && record.key().compareTo(afterKey) > 0)
				.sorted((left, right) -> left.key().compareTo(right.key()))
				.toList();
			return new TopicPage(rest.stream().limit(PAGE_SIZE).toList(), rest.size() > PAGE_SIZE, this.records.size());
		});
	}

	@Override
	public CompletionStage<TopicSlice> read(long fromOffset, long waitMillis) {
		if (fromOffset < this.firstOffset) {
			this.callCount++;
			return CompletableFuture.failedFuture(new RecordsExpiredException("entries", fromOffset));
		}
		return call(() -> new TopicSlice(List.copyOf(this.records.subList((int) fromOffset, this.records.size())),
				this.records.size(), this.records.size()));
	}

	private <T> CompletionStage<T> call(Supplier<T> result) {
		this.callCount++;
		return this.away ? CompletableFuture.failedFuture(new IllegalStateException("store away"))
				: CompletableFuture.completedFuture(result.get());
	}

}
