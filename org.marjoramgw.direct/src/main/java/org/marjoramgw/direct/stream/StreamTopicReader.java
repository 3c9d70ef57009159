package org.marjoramgw.direct.stream;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.follow.CompactedTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPosition;
import org.marjoramgw.direct.follow.TopicSlice;
import org.marjoramgw.errors.RecordsExpiredException;

/**
 * Reads a topic on demand. One read goes on at a time.
 *
 * @author The marjoramgw authors
 */
final class StreamTopicReader {

	/**
	 * Time after a read in which the next one goes on behind it, in milliseconds; later a
	 * snapshot is smaller than all records since.
	 */
	private static final long MAX_GAP_MILLIS = 10_000;

	private final CompactedTopic topic;

	private final MillisClock clock;

	private final Consumer<List<KeyedRecord>> onRecords;

	private final Runnable onOtherEra;

	/** Position to read from next, {@code null} before the first snapshot. */
	private TopicPosition next;

	private long readMillis;

	/**
	 * Creates a reader.
	 * @param topic the topic
	 * @param clock monotonic clock
	 * @param onRecords receiver of the records
	 * @param onOtherEra called when the store was restored from a copy since the last
	 * snapshot, before the records of the new one
	 */
	StreamTopicReader(CompactedTopic topic, MillisClock clock, Consumer<List<KeyedRecord>> onRecords,
			Runnable onOtherEra) {
		this.topic = topic;
		this.clock = clock;
		this.onRecords = onRecords;
		this.onOtherEra = onOtherEra;
	}

	/**
	 * Reads all that the topic contains when this is called.
	 * @return completes when the records have been delivered; fails if the store doesn't
	 * answer
	 */
	CompletionStage<Void> read() {
		long sentMillis = this.clock.nowMillis();
		boolean behind = this.next == null || sentMillis - this.readMillis > MAX_GAP_MILLIS;
		return (behind ? readSnapshot() : readOn()).thenRun(() -> this.readMillis = sentMillis);
	}

	private CompletionStage<Void> readSnapshot() {
		return this.topic.readSnapshot().thenAccept((snapshot) -> {
			if (this.next != null && this.next.era() != snapshot.end().era()) {
				this.onOtherEra.run();
			}
			this.onRecords.accept(snapshot.records());
			this.next = snapshot.end();
		});
	}

	private CompletionStage<Void> readOn() {
		return this.topic.readFrom(this.next, 0)
			.handle((slice, failure) -> (failure != null) ? onFailure(failure) : onSlice(slice))
			.thenCompose((following) -> following);
	}

	private CompletionStage<Void> onFailure(Throwable failure) {
		return RecordsExpiredException.isCauseOf(failure) ? readSnapshot() : CompletableFuture.failedFuture(failure);
	}

	private CompletionStage<Void> onSlice(TopicSlice slice) {
		this.onRecords.accept(slice.records());
		this.next = slice.next();
		boolean complete = slice.reachesEnd() || slice.records().isEmpty();
		return complete ? CompletableFuture.completedFuture(null) : readOn();
	}

}
