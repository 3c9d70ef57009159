package org.marjoramgw.direct.follow;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.MillisClock;
import org.marjoramgw.errors.RecordsExpiredException;
import org.marjoramgw.errors.StoreUnavailableException;

/**
 * Reads a topic on demand; not thread-safe. One read may go on at a time.
 *
 * @author The marjoramgw authors
 */
public final class TopicReader {

	/**
	 * Time after a read in which the next one goes on behind it, in milliseconds; later a
	 * snapshot is smaller than all records since.
	 */
	private static final long MAX_GAP_MILLIS = 10_000;

	private final CompactedTopic topic;

	private final MillisClock clock;

	private final Listener listener;

	/** Position to read from next, {@code null} before the first snapshot. */
	private TopicPosition next;

	private long readMillis;

	/**
	 * Creates a reader.
	 * @param topic the topic
	 * @param clock monotonic clock
	 * @param listener receiver of the records
	 */
	public TopicReader(CompactedTopic topic, MillisClock clock, Listener listener) {
		this.topic = topic;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Reads all that the topic contains when this is called.
	 * @return completes when the records have been delivered; fails if the store doesn't
	 * answer, or returns nothing before the end of the topic
	 */
	public CompletionStage<Void> read() {
		long sentMillis = this.clock.nowMillis();
		boolean behind = this.next == null || sentMillis - this.readMillis > MAX_GAP_MILLIS;
		return (behind ? readSnapshot() : readOn()).thenRun(() -> this.readMillis = sentMillis);
	}

	private CompletionStage<Void> readSnapshot() {
		return this.topic.readSnapshot().thenAccept((snapshot) -> {
			boolean otherEra = this.next != null && this.next.era() != snapshot.end().era();
			this.listener.onSnapshot(snapshot.records(), otherEra);
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
		this.listener.onRecords(slice.records());
		this.next = slice.next();
		if (slice.reachesEnd()) {
			return CompletableFuture.completedFuture(null);
		}
		return slice.records().isEmpty()
				? CompletableFuture.failedFuture(new StoreUnavailableException("empty read before the end", null))
				: readOn();
	}

	/**
	 * Receiver of the records of a topic.
	 */
	public interface Listener {

		/**
		 * Called with the latest record of every key.
		 * @param records the records
		 * @param otherEra whether the store was restored from a copy since the last read
		 */
		void onSnapshot(List<KeyedRecord> records, boolean otherEra);

		/**
		 * Called with records that were appended after the last call.
		 * @param records the records in the order of the topic
		 */
		void onRecords(List<KeyedRecord> records);

	}

}
