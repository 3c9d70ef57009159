package org.marjoramgw.direct.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Appends records to a topic in order, one call at a time, and repeats a call that
 * failed; thread-safe. Records must be idempotent.
 *
 * @author The marjoramgw authors
 */
final class RecordSender {

	/** Records that wait while the store is unreachable; the oldest ones are dropped. */
	private static final int MAX_WAITING = 256;

	private static final int MAX_RECORDS_PER_CALL = 32;

	private final AppendableTopic topic;

	private final Timers timers;

	private final Backoff backoff;

	private final Deque<Supplier<KeyedRecord>> waiting = new ArrayDeque<>();

	private boolean sending;

	private int failureCount;

	/**
	 * Creates a sender.
	 * @param topic the topic
	 * @param timers timers
	 * @param backoff delays before failed calls are repeated
	 */
	RecordSender(AppendableTopic topic, Timers timers, Backoff backoff) {
		this.topic = topic;
		this.timers = timers;
		this.backoff = backoff;
	}

	/**
	 * Sends a record.
	 * @param record creates the record immediately before each call
	 */
	void send(Supplier<KeyedRecord> record) {
		synchronized (this) {
			this.waiting.addLast(record);
			if (this.waiting.size() > MAX_WAITING) {
				this.waiting.removeFirst();
			}
			if (this.sending) {
				return;
			}
			this.sending = true;
		}
		sendNext();
	}

	private void sendNext() {
		List<Supplier<KeyedRecord>> batch = new ArrayList<>();
		synchronized (this) {
			while (!this.waiting.isEmpty() && batch.size() < MAX_RECORDS_PER_CALL) {
				batch.add(this.waiting.removeFirst());
			}
			if (batch.isEmpty()) {
				this.sending = false;
				return;
			}
		}
		append(batch).whenComplete((ignored, failure) -> onResult(batch, failure != null));
	}

	private CompletionStage<Void> append(List<Supplier<KeyedRecord>> batch) {
		try {
			return this.topic.append(batch.stream().map(Supplier::get).toList());
		}
		catch (IllegalArgumentException ex) {
			Logger.error(ex, "records dropped that can't be encoded");
			return CompletableFuture.completedFuture(null);
		}
	}

	private void onResult(List<Supplier<KeyedRecord>> batch, boolean failed) {
		if (!failed) {
			synchronized (this) {
				this.failureCount = 0;
			}
			sendNext();
			return;
		}
		long delayMillis;
		synchronized (this) {
			for (int index = batch.size() - 1; index >= 0; index--) {
				this.waiting.addFirst(batch.get(index));
			}
			this.failureCount++;
			delayMillis = this.backoff.delayMillis(this.failureCount);
		}
		this.timers.schedule(delayMillis, this::sendNext);
	}

}
