package org.marjoramgw.direct.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPosition;
import org.marjoramgw.direct.follow.TopicSlice;
import org.marjoramgw.errors.RecordsExpiredException;
import org.marjoramgw.policy.fleet.PeerListing;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * List of all entry processes in a topic of the store; thread-safe.
 * <p>
 * First appends the record of this process, which receives digests by then, and then
 * reads those of the others. So of two processes that start concurrently at least one
 * finds the other. Later reads get only what was appended since the one before. Calls
 * that fail are repeated.
 *
 * @author The marjoramgw authors
 */
final class PeerList {

	private final String processId;

	private final long incarnation;

	private final AppendableTopic topic;

	private final Timers timers;

	private final Backoff backoff;

	private final Listener listener;

	private KeyedRecord ownRecord;

	/** Position to read from next, {@code null} if all records are to be read. */
	private TopicPosition next;

	private int failureCount;

	private boolean busy;

	private boolean closed;

	/**
	 * Creates a list.
	 * @param processId id of this process
	 * @param incarnation incarnation of this process
	 * @param topic the topic
	 * @param timers timers
	 * @param backoff delays before failed calls are repeated
	 * @param listener receiver of the records
	 */
	PeerList(String processId, long incarnation, AppendableTopic topic, Timers timers, Backoff backoff,
			Listener listener) {
		this.processId = processId;
		this.incarnation = incarnation;
		this.topic = topic;
		this.timers = timers;
		this.backoff = backoff;
		this.listener = listener;
	}

	/**
	 * Appends the record of this process and reads those of the others.
	 * @param address address on which this process receives digests
	 */
	void start(HostPort address) {
		synchronized (this) {
			this.ownRecord = PeerRecordCodec.encode(this.processId, this.incarnation, address);
			this.busy = true;
		}
		append();
	}

	/**
	 * Reads what was appended since the last read, unless a call is open.
	 */
	void read() {
		synchronized (this) {
			if (this.busy || this.closed) {
				return;
			}
			this.busy = true;
		}
		readNext();
	}

	/**
	 * Deletes the record of this process, and makes no further calls.
	 */
	void close() {
		synchronized (this) {
			if (this.closed || this.ownRecord == null) {
				this.closed = true;
				return;
			}
			this.closed = true;
		}
		this.topic.append(List.of(new KeyedRecord(this.processId, Optional.empty(), 0)));
	}

	private void append() {
		if (isClosed()) {
			return;
		}
		this.topic.append(List.of(this.ownRecord)).whenComplete((ignored, failure) -> {
			if (failure != null) {
				onFailure(failure, this::append);
				return;
			}
			readNext();
		});
	}

	private void readNext() {
		if (isClosed()) {
			return;
		}
		TopicPosition from = position();
		if (from == null) {
			readAll();
			return;
		}
		this.topic.readFrom(from, 0).whenComplete((slice, failure) -> {
			if (failure == null) {
				onSlice(slice);
			}
			else if (RecordsExpiredException.isCauseOf(failure)) {
				setPosition(null);
				readNext();
			}
			else {
				onFailure(failure, this::readNext);
			}
		});
	}

	private void readAll() {
		this.topic.readSnapshot().whenComplete((snapshot, failure) -> {
			if (failure != null) {
				onFailure(failure, this::readNext);
				return;
			}
			setPosition(snapshot.end());
			deliver(snapshot.records(), true);
		});
	}

	private void onSlice(TopicSlice slice) {
		setPosition(slice.next());
		if (!slice.reachesEnd() && !slice.records().isEmpty()) {
			this.listener.onListed(listings(slice.records()), deletedIds(slice.records()), false);
			readNext();
			return;
		}
		deliver(slice.records(), false);
	}

	private void deliver(List<KeyedRecord> records, boolean complete) {
		this.listener.onListed(listings(records), deletedIds(records), complete);
		boolean lost = isOwnRecordLost(records, complete);
		synchronized (this) {
			this.failureCount = 0;
			this.busy = lost;
		}
		if (lost) {
			append();
		}
	}

	/**
	 * Tells whether an earlier process of the same name deleted or replaced the record of
	 * this one, or the store lost it.
	 * @param records the latest records
	 * @param complete whether the topic has no others
	 * @return whether the record has to be appended again
	 */
	private boolean isOwnRecordLost(List<KeyedRecord> records, boolean complete) {
		boolean lost = complete;
		for (KeyedRecord record : records) {
			if (record.key().equals(this.processId)) {
				lost = PeerRecordCodec.decode(record)
					.map((listing) -> listing.incarnation() < this.incarnation)
					.orElse(true);
			}
		}
		return lost;
	}

	private void onFailure(Throwable failure, Runnable repeat) {
		long delayMillis;
		synchronized (this) {
			if (this.failureCount == 0) {
				Logger.warn("peers: lost contact with the store: {}", failure.toString());
			}
			this.failureCount++;
			delayMillis = this.backoff.delayMillis(this.failureCount);
		}
		this.timers.schedule(delayMillis, repeat);
	}

	private synchronized boolean isClosed() {
		return this.closed;
	}

	private synchronized TopicPosition position() {
		return this.next;
	}

	private synchronized void setPosition(TopicPosition position) {
		this.next = position;
	}

	private static List<PeerListing> listings(List<KeyedRecord> records) {
		return records.stream().flatMap((record) -> PeerRecordCodec.decode(record).stream()).toList();
	}

	private static Set<String> deletedIds(List<KeyedRecord> records) {
		Set<String> ids = new HashSet<>();
		for (KeyedRecord record : records) {
			if (record.value().isEmpty()) {
				ids.add(record.key());
			}
			else {
				ids.remove(record.key());
			}
		}
		return ids;
	}

	/**
	 * Receiver of the records of other processes.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Called after a read.
		 * @param listings processes whose records were read, in the order of the topic
		 * @param deletedIds ids of processes whose records were deleted
		 * @param complete whether the topic names no other processes
		 */
		void onListed(List<PeerListing> listings, Set<String> deletedIds, boolean complete);

	}

}
