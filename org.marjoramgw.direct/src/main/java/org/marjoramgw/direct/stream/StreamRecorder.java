package org.marjoramgw.direct.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.stream.StreamBook;
import org.marjoramgw.policy.stream.StreamRecord;
import org.marjoramgw.policy.stream.VersionBook;
import org.marjoramgw.policy.stream.VersionMark;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Writes the marks and the streams of this process to the topic that all processes share,
 * one call at a time, and repeats a call that failed. Guarded by a lock.
 *
 * @author The marjoramgw authors
 */
final class StreamRecorder {

	/** Interval of the records of streams, in milliseconds. */
	static final long INTERVAL_MILLIS = 200;

	/** Slots of the records of a process; replaced only after streams are forgotten. */
	private static final int SLOT_COUNT = 256;

	/** Streams in one record. */
	private static final int MAX_STREAMS_PER_RECORD = 4_000;

	private final String processId;

	private final AppendableTopic topic;

	private final VersionBook versions;

	private final StreamBook streams;

	private final MillisClock timeOfDay;

	private final Timers timers;

	private final Backoff backoff;

	private final Object lock;

	private boolean appending;

	private boolean scheduled;

	private int failureCount;

	private long lastSlot;

	/**
	 * Creates a recorder.
	 * @param processId id of this process
	 * @param topic the topic
	 * @param versions versions of which the marks are written
	 * @param streams streams that are written
	 * @param timeOfDay time of day, in milliseconds since the Unix epoch
	 * @param timers timers
	 * @param backoff delays before failed calls are repeated
	 * @param lock lock of the versions and the streams, held by every caller of this
	 * class
	 */
	StreamRecorder(String processId, AppendableTopic topic, VersionBook versions, StreamBook streams,
			MillisClock timeOfDay, Timers timers, Backoff backoff, Object lock) {
		this.processId = processId;
		this.topic = topic;
		this.versions = versions;
		this.streams = streams;
		this.timeOfDay = timeOfDay;
		this.timers = timers;
		this.backoff = backoff;
		this.lock = lock;
	}

	/**
	 * Writes a stream that has begun together with others, if its service has several
	 * versions.
	 * @param service name of the service
	 */
	void recordSoon(String service) {
		if (isMixed(service)) {
			schedule(INTERVAL_MILLIS);
		}
	}

	/**
	 * Writes the mark if it is due, and the streams that wait for nothing else, unless a
	 * call is open.
	 */
	void recordNow() {
		if (this.appending) {
			return;
		}
		long nowMillis = this.timeOfDay.nowMillis();
		Optional<VersionMark> mark = this.versions.isMarkDue(nowMillis) ? Optional.of(this.versions.mark(nowMillis))
				: Optional.empty();
		Map<String, Boolean> mixed = new HashMap<>();
		List<StreamRecord> begun = this.scheduled ? List.of() : this.streams
			.unrecorded((service) -> mixed.computeIfAbsent(service, this::isMixed), MAX_STREAMS_PER_RECORD, nowMillis);
		List<KeyedRecord> records = encode(mark, begun, nowMillis);
		if (!records.isEmpty()) {
			this.appending = true;
			this.topic.append(records).whenComplete((ignored, failure) -> onAppended(mark, begun, failure));
		}
	}

	private List<KeyedRecord> encode(Optional<VersionMark> mark, List<StreamRecord> begun, long nowMillis) {
		List<KeyedRecord> records = new ArrayList<>();
		mark.ifPresent((due) -> records.add(StreamRecordCodec.encodeMark(this.processId, due)));
		if (!begun.isEmpty()) {
			this.lastSlot = Math.max(nowMillis / INTERVAL_MILLIS, this.lastSlot + 1);
			records.add(StreamRecordCodec.encodeStreams(this.processId, this.lastSlot % SLOT_COUNT, nowMillis, begun));
		}
		return records;
	}

	private void onAppended(Optional<VersionMark> mark, List<StreamRecord> begun, Throwable failure) {
		synchronized (this.lock) {
			this.appending = false;
			if (failure != null) {
				onFailure(failure);
				return;
			}
			this.failureCount = 0;
			mark.ifPresent((written) -> {
				this.versions.onAcknowledged(written);
				Logger.info("streams: versions marked: {}", written.untilMillis());
			});
			this.streams.onAcknowledged(begun);
			recordNow();
		}
	}

	private void onFailure(Throwable failure) {
		this.failureCount++;
		if (this.failureCount == 1) {
			Logger.warn("streams: not recorded: {}", failure.toString());
		}
		schedule(this.backoff.delayMillis(this.failureCount));
	}

	private void schedule(long delayMillis) {
		if (!this.scheduled) {
			this.scheduled = true;
			this.timers.schedule(delayMillis, this::onTime);
		}
	}

	private void onTime() {
		synchronized (this.lock) {
			this.scheduled = false;
			recordNow();
		}
	}

	private boolean isMixed(String service) {
		return this.versions.possible(service, this.timeOfDay.nowMillis()).size() > 1;
	}

}
