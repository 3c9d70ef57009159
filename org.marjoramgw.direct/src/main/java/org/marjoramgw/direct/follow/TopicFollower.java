package org.marjoramgw.direct.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.RecordsExpiredException;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Follows a topic: the newest record of each key first, then each record that is added.
 * <p>
 * What is known stays in force while the store is away. If the store no longer holds the
 * records that come next, the newest record of each key is read again.
 *
 * @author The marjoramgw authors
 */
public final class TopicFollower implements AutoCloseable {

	/** Pause before a failed read is repeated, in milliseconds; each call has a price. */
	private static final long RETRY_PAUSE_MILLIS = 250;

	private final String name;

	private final CompactedTopic topic;

	private final TopicListener listener;

	private final AgeClock clock;

	private final Timers timers;

	private final long waitMillis;

	private final ResultCounters counters;

	private long nextOffset = -1;

	private boolean reachable = true;

	private volatile boolean closed;

	/**
	 * Creates a follower.
	 * @param name name for logs
	 * @param topic the topic
	 * @param listener receiver of what the topic holds
	 * @param clock clock for ages
	 * @param timers timers
	 * @param waitMillis how long one read waits for records, in milliseconds
	 * @param counters counters of results
	 */
	public TopicFollower(String name, CompactedTopic topic, TopicListener listener, AgeClock clock, Timers timers,
			long waitMillis, ResultCounters counters) {
		this.name = name;
		this.topic = topic;
		this.listener = listener;
		this.clock = clock;
		this.timers = timers;
		this.waitMillis = waitMillis;
		this.counters = counters;
	}

	/**
	 * Starts following.
	 */
	public void start() {
		readSnapshot("", new ArrayList<>(), this.clock.now(), -1);
	}

	/**
	 * Asks at once whether there is anything new, beside the read that waits.
	 */
	public void confirm() {
		long from = position();
		if (from < 0 || this.closed) {
			return;
		}
		ClockReading sent = this.clock.now();
		this.topic.read(from, 0).whenComplete((slice, failure) -> onConfirmation(slice, from, sent));
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private synchronized long position() {
		return this.nextOffset;
	}

	private synchronized void onConfirmation(TopicSlice slice, long from, ClockReading sent) {
		// Records are left to the read that waits, which keeps them in order.
		if (slice != null && slice.records().isEmpty() && from == this.nextOffset) {
			this.listener.onConfirmed(sent);
		}
	}

	private void readSnapshot(String afterKey, List<KeyedRecord> records, ClockReading sent, long endOffset) {
		if (this.closed) {
			return;
		}
		this.topic.readLatest(afterKey).whenComplete((page, failure) -> {
			if (failure != null) {
				onFailure(failure, this::start);
				return;
			}
			onPage(page, records, sent, (endOffset < 0) ? page.endOffset() : endOffset);
		});
	}

	private void onPage(TopicPage page, List<KeyedRecord> records, ClockReading sent, long endOffset) {
		records.addAll(page.records());
		if (page.hasMore() && !page.records().isEmpty()) {
			readSnapshot(page.records().get(page.records().size() - 1).key(), records, sent, endOffset);
			return;
		}
		synchronized (this) {
			markReachable();
			this.listener.onSnapshot(List.copyOf(records));
			this.listener.onConfirmed(sent);
			this.nextOffset = endOffset;
		}
		readNext();
	}

	private void readNext() {
		if (this.closed) {
			return;
		}
		ClockReading sent = this.clock.now();
		this.topic.read(position(), this.waitMillis).whenComplete((slice, failure) -> {
			if (failure == null) {
				onSlice(slice, sent);
			}
			else if (isExpired(failure)) {
				this.counters.count(ResultCode.RECORDS_EXPIRED);
				Logger.info("{}: records expired, reading the newest of each key", this.name);
				start();
			}
			else {
				onFailure(failure, this::readNext);
			}
		});
	}

	private void onSlice(TopicSlice slice, ClockReading sent) {
		synchronized (this) {
			markReachable();
			if (!slice.records().isEmpty()) {
				this.listener.onRecords(slice.records());
			}
			this.listener.onConfirmed(sent);
			this.nextOffset = slice.nextOffset();
		}
		readNext();
	}

	private void onFailure(Throwable failure, Runnable retry) {
		this.counters.count(ResultCode.STORE_AWAY);
		synchronized (this) {
			if (this.reachable) {
				Logger.warn("{}: lost contact with the store: {}", this.name, failure.toString());
			}
			this.reachable = false;
			this.listener.onUnreachable();
		}
		this.timers.schedule(RETRY_PAUSE_MILLIS, retry);
	}

	private void markReachable() {
		if (!this.reachable) {
			Logger.info("{}: regained contact with the store", this.name);
		}
		this.reachable = true;
	}

	private static boolean isExpired(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return cause instanceof RecordsExpiredException;
	}

}
