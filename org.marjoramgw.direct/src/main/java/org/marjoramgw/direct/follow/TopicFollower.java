package org.marjoramgw.direct.follow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.RecordsExpiredException;
import org.marjoramgw.errors.StoreUnavailableException;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Follows a topic: reads a snapshot of the latest record of each key, then every record
 * that is appended.
 * <p>
 * While the store is unreachable, the listener keeps its last state. If the store no
 * longer retains the next records, or was restored from a copy, a new snapshot is read.
 *
 * @author The marjoramgw authors
 */
public final class TopicFollower implements AutoCloseable {

	private final String name;

	private final CompactedTopic topic;

	private final TopicListener listener;

	private final AgeClock clock;

	private final Timers timers;

	private final ReadSchedule schedule;

	private final ResultCounters counters;

	private final Runnable onContactLost;

	private final CatchUp catchUp = new CatchUp();

	/** Position to read from next, {@code null} before the first snapshot. */
	private TopicPosition next;

	private boolean reachable = true;

	private int failureCount;

	/** Snapshots in a row behind which nothing could be read. */
	private int expiredCount;

	private volatile boolean closed;

	/**
	 * Creates a follower.
	 * @param name name of the topic in log lines
	 * @param topic the topic
	 * @param listener receiver of the records
	 * @param clock clock that measures ages
	 * @param timers timers
	 * @param schedule times of the reads
	 * @param counters counters of result codes
	 * @param onContactLost called when a read has failed after one that was answered
	 */
	public TopicFollower(String name, CompactedTopic topic, TopicListener listener, AgeClock clock, Timers timers,
			ReadSchedule schedule, ResultCounters counters, Runnable onContactLost) {
		this.name = name;
		this.topic = topic;
		this.listener = listener;
		this.clock = clock;
		this.timers = timers;
		this.schedule = schedule;
		this.counters = counters;
		this.onContactLost = onContactLost;
	}

	/**
	 * Starts following.
	 */
	public void start() {
		if (this.closed) {
			return;
		}
		ClockReading sent = this.clock.now();
		this.topic.readSnapshot().whenComplete((snapshot, failure) -> {
			if (failure != null) {
				onFailure(failure, this::start);
			}
			else {
				onSnapshot(snapshot, sent);
			}
		});
	}

	/**
	 * Reads immediately, in addition to the pending read.
	 * @return completes when the records have been delivered; fails if there was no
	 * answer that follows on what was delivered before
	 */
	public CompletionStage<Void> confirm() {
		TopicPosition from = position();
		if (from == null || this.closed) {
			return CompletableFuture.failedFuture(new StoreUnavailableException(this.name + ": no snapshot", null));
		}
		ClockReading sent = this.clock.now();
		return this.topic.readFrom(from, 0).thenAccept((slice) -> deliver(slice, from, sent));
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private synchronized TopicPosition position() {
		return this.next;
	}

	private void onSnapshot(TopicSnapshot snapshot, ClockReading sent) {
		try {
			deliver(snapshot, sent);
		}
		catch (RuntimeException ex) {
			onUndelivered(ex);
			return;
		}
		readNext();
	}

	private synchronized void deliver(TopicSnapshot snapshot, ClockReading sent) {
		this.listener.onSnapshot(snapshot.records());
		this.listener.onConfirmed(sent);
		markReachable();
		this.catchUp.restart();
		this.next = snapshot.end();
		Logger.info("{}: snapshot of {} records read up to {}", this.name, snapshot.records().size(), snapshot.end());
	}

	private void readNext() {
		if (this.closed) {
			return;
		}
		ClockReading sent = this.clock.now();
		TopicPosition from = position();
		this.topic.readFrom(from, waitMillis()).whenComplete((slice, failure) -> {
			if (failure == null) {
				onSlice(slice, from, sent);
			}
			else if (RecordsExpiredException.isCauseOf(failure)) {
				onExpired(failure);
			}
			else {
				onFailure(failure, this::readNext);
			}
		});
	}

	/**
	 * Returns how long the next read may wait. One after a failure waits for nothing,
	 * since the state isn't confirmed until it is answered; but every second one does,
	 * since it is given longer, which a slow store may need.
	 * @return longest wait for a record, in milliseconds
	 */
	private synchronized long waitMillis() {
		return (this.failureCount % 2 > 0) ? 0 : this.schedule.waitMillis();
	}

	private void onSlice(TopicSlice slice, TopicPosition from, ClockReading sent) {
		try {
			deliver(slice, from, sent);
		}
		catch (RuntimeException ex) {
			onUndelivered(ex);
			return;
		}
		if (slice.records().isEmpty() == slice.reachesEnd()) {
			// Nothing is new, or more records are waiting.
			readNext();
		}
		else {
			this.timers.schedule(this.schedule.gatherMillis(), this::readNext);
		}
	}

	private synchronized void deliver(TopicSlice slice, TopicPosition from, ClockReading sent) {
		if (!from.equals(this.next)) {
			// Another read has delivered these records, or a later state, meanwhile.
			return;
		}
		if (!slice.records().isEmpty()) {
			this.listener.onRecords(slice.records());
		}
		this.next = slice.next();
		this.catchUp.onDelivered(slice, sent).ifPresent(this.listener::onConfirmed);
		this.expiredCount = 0;
		markReachable();
	}

	/**
	 * Reads on after a fault of the listener, which must not end the reads: nobody would
	 * notice.
	 * @param fault the fault
	 */
	private void onUndelivered(RuntimeException fault) {
		Logger.error(fault, "{}: records not delivered", this.name);
		onFailure(fault, this::start);
	}

	private void onExpired(Throwable failure) {
		this.counters.count(ResultCode.RECORDS_EXPIRED);
		Logger.info("{}: reading a new snapshot: {}", this.name, failure.toString());
		long delayMillis;
		synchronized (this) {
			delayMillis = (this.expiredCount > 0) ? this.schedule.backoff().delayMillis(this.expiredCount) : 0;
			this.expiredCount++;
		}
		if (delayMillis > 0) {
			this.timers.schedule(delayMillis, this::start);
		}
		else {
			start();
		}
	}

	private void onFailure(Throwable failure, Runnable retry) {
		this.counters.count(ResultCode.STORE_AWAY);
		long delayMillis;
		boolean lost;
		synchronized (this) {
			lost = this.reachable;
			if (lost) {
				Logger.warn("{}: lost contact with the store: {}", this.name, failure.toString());
			}
			this.reachable = false;
			this.listener.onUnreachable();
			this.failureCount++;
			delayMillis = this.schedule.backoff().delayMillis(this.failureCount);
		}
		this.timers.schedule(delayMillis, retry);
		if (lost) {
			this.onContactLost.run();
		}
	}

	private void markReachable() {
		if (!this.reachable) {
			Logger.info("{}: regained contact with the store", this.name);
		}
		this.reachable = true;
		this.failureCount = 0;
	}

}
