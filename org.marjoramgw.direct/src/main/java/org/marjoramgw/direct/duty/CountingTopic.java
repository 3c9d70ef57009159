package org.marjoramgw.direct.duty;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import org.marjoramgw.direct.follow.AppendResult;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPage;
import org.marjoramgw.direct.follow.TopicSlice;

/**
 * Topic that counts the calls to it; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class CountingTopic implements AppendableTopic {

	private final AppendableTopic topic;

	private final AtomicLong calls = new AtomicLong();

	/**
	 * Creates a topic.
	 * @param topic the topic that is called
	 */
	CountingTopic(AppendableTopic topic) {
		this.topic = topic;
	}

	/**
	 * Returns the number of calls.
	 * @return the number
	 */
	long callCount() {
		return this.calls.get();
	}

	@Override
	public CompletionStage<TopicPage> readLatest(String afterKey) {
		this.calls.incrementAndGet();
		return this.topic.readLatest(afterKey);
	}

	@Override
	public CompletionStage<TopicSlice> read(long fromOffset, long waitMillis) {
		this.calls.incrementAndGet();
		return this.topic.read(fromOffset, waitMillis);
	}

	@Override
	public CompletionStage<Void> append(List<KeyedRecord> records) {
		this.calls.incrementAndGet();
		return this.topic.append(records);
	}

	@Override
	public CompletionStage<AppendResult> appendAt(List<KeyedRecord> records, long endOffset) {
		this.calls.incrementAndGet();
		return this.topic.appendAt(records, endOffset);
	}

}
