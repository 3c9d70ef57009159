package org.marjoramgw.direct.follow;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.RecordsExpiredException;
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

	private final CatchUp catchUp = new CatchUp();

	/** Position to read from next, {@code null} before the first snapshot. */
	private TopicPosition next;

	private boolean reachable = true;

	private int failureCount;

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
	 */
	public TopicFollower(String name, CompactedTopic topic, TopicListener listener, AgeClock clock, Timers timers,
			ReadSchedule schedule, ResultCounters counters) {
		this.name = name;
		this.topic = topic;
		this.listener = listener;
		this.clock = clock;
		this.timers = timers;
		this.schedule = schedule;
		this.counters = counters;
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
	 * Checks for new records immediately, in addition to the pending read.
	 */
	public void confirm() {
		TopicPosition from = position();
		if (from == null || this.closed) {
			return;
		}
		ClockReading sent = this.clock.now();
		this.topic.readFrom(from, 0).whenComplete((slice, failure) -> onConfirmation(slice, from, sent));
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private synchronized TopicPosition position() {
		return this.next;
	}

	private synchronized void onConfirmation(TopicSlice slice, TopicPosition from, ClockReading sent) {
		// New records are left to the pending read, which keeps them in order.
		if (slice != null && slice.records().isEmpty() && slice.reachesEnd() && from.equals(this.next)) {
			this.listener.onConfirmed(sent);
		}
	}

	private void onSnapshot(TopicSnapshot snapshot, ClockReading sent) {
		synchronized (this) {
			markReachable();
			this.listener.onSnapshot(snapshot.records());
			this.listener.onConfirmed(sent);
			this.catchUp.restart();
			this.next = snapshot.end();
			Logger.info("{}: snapshot of {} records read up to {}", this.name, snapshot.records().size(),
					snapshot.end());
		}
		readNext();
	}

	private void readNext() {
		if (this.closed) {
			return;
		}
		ClockReading sent = this.clock.now();
		this.topic.readFrom(position(), this.schedule.waitMillis()).whenComplete((slice, failure) -> {
			if (failure == null) {
				onSlice(slice, sent);
			}
			else if (RecordsExpiredException.isCauseOf(failure)) {
				this.counters.count(ResultCode.RECORDS_EXPIRED);
				Logger.info("{}: reading a new snapshot: {}", this.name, failure.toString());
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
			this.next = slice.next();
			this.catchUp.onDelivered(slice, sent).ifPresent(this.listener::onConfirmed);
		}
		if (slice.records().isEmpty() == slice.reachesEnd()) {
			// Nothing is new, or more records are waiting.
			readNext();
		}
		else {
			this.timers.schedule(this.schedule.gatherMillis(), this::readNext);
		}
	}

	private void onFailure(Throwable failure, Runnable retry) {
		this.counters.count(ResultCode.STORE_AWAY);
		long delayMillis;
		synchronized (this) {
			if (this.reachable) {
				Logger.warn("{}: lost contact with the store: {}", this.name, failure.toString());
			}
			this.reachable = false;
			this.listener.onUnreachable();
			this.failureCount++;
			delayMillis = this.schedule.backoff().delayMillis(this.failureCount);
		}
		this.timers.schedule(delayMillis, retry);
	}

	private void markReachable() {
		if (!this.reachable) {
			Logger.info("{}: regained contact with the store", this.name);
		}
		this.reachable = true;
		this.failureCount = 0;
	}

}
