package org.marjoramgw.direct.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;

import org.marjoramgw.direct.follow.AppendResult;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPosition;
import org.marjoramgw.direct.follow.TopicSlice;
import org.marjoramgw.direct.follow.TopicSnapshot;
import org.marjoramgw.errors.RecordsExpiredException;
import org.marjoramgw.policy.lease.LeaseEntry;
import org.marjoramgw.policy.lease.LeaseRecord;
import org.marjoramgw.policy.lease.LeaseState;
import org.marjoramgw.policy.lease.LeaseStep;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Carries out the steps of a {@link LeaseState}, one call to the topic of the duties at a
 * time, and passes on its other records; thread-safe by the lock of the duty.
 *
 * @author The marjoramgw authors
 */
final class LeaseDriver {

	private final AppendableTopic topic;

	private final LeaseState state;

	private final AgeClock clock;

	private final Timers timers;

	private final LongSupplier lagMillis;

	private final Backoff backoff;

	private final Duty duty;

	private final Object lock;

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	/** Era of the last snapshot, which the offsets of the state belong to. */
	private long era = TopicPosition.NO_ERA;

	private Timers.Handle pause = Timers.Handle.NONE;

	private long pauseNumber;

	private boolean paused;

	private boolean appending;

	private int failureCount;

	private boolean owned;

	/**
	 * Creates a driver.
	 * @param topic topic of the duties
	 * @param state state of the lease
	 * @param clock clock that measures ages
	 * @param timers timers
	 * @param lagMillis scheduling lag of this process, in milliseconds
	 * @param backoff delays after failed calls
	 * @param duty the duty that the holder exercises
	 * @param lock lock of the duty
	 */
	LeaseDriver(AppendableTopic topic, LeaseState state, AgeClock clock, Timers timers, LongSupplier lagMillis,
			Backoff backoff, Duty duty, Object lock) {
		this.topic = topic;
		this.state = state;
		this.clock = clock;
		this.timers = timers;
		this.lagMillis = lagMillis;
		this.backoff = backoff;
		this.duty = duty;
		this.lock = lock;
	}

	/**
	 * Starts to follow the lease.
	 */
	void start() {
		synchronized (this.lock) {
			step();
		}
	}

	/**
	 * Decides anew if nothing is being done, since the duty has something to append.
	 */
	void wake() {
		synchronized (this.lock) {
			if (this.paused) {
				this.paused = false;
				this.pause.cancel();
				step();
			}
		}
	}

	/**
	 * Releases the lease if this process holds it, and never acquires it again.
	 * @return completes when the lease is released
	 */
	CompletionStage<Void> close() {
		synchronized (this.lock) {
			this.state.close();
			if (!this.state.isOwn() && !this.appending) {
				this.stopped.complete(null);
			}
			wake();
			return this.stopped;
		}
	}

	private void step() {
		noteOwner();
		LeaseStep step = this.state.next(this.clock.now(), this.lagMillis.getAsLong(), this.duty.hasToAppend());
		switch (step.kind()) {
			case SNAPSHOT -> readSnapshot();
			case READ -> read(step.waitMillis());
			case PAUSE -> pauseFor(step.waitMillis());
			case ACQUIRE, RENEW, RELEASE -> append(step.kind());
			case STOP -> this.stopped.complete(null);
		}
	}

	private void noteOwner() {
		boolean owns = this.state.isOwn();
		if (owns == this.owned) {
			return;
		}
		this.owned = owns;
		if (owns) {
			Logger.info("usage lease acquired token={}", this.state.token());
			this.duty.onAcquired();
		}
		else {
			Logger.info("usage lease no longer held, holder={} token={}", this.state.holder(), this.state.token());
			this.duty.onLost();
		}
	}

	private void pauseFor(long millis) {
		this.paused = true;
		this.pauseNumber++;
		long number = this.pauseNumber;
		this.pause = this.timers.schedule(Math.max(1, millis), () -> endPause(number));
	}

	private void endPause(long number) {
		synchronized (this.lock) {
			if (this.paused && number == this.pauseNumber) {
				this.paused = false;
				step();
			}
		}
	}

	private void readSnapshot() {
		this.topic.readSnapshot().whenComplete((snapshot, failure) -> {
			synchronized (this.lock) {
				if (failure != null) {
					onFailure("read", failure);
				}
				else {
					onSnapshot(snapshot);
				}
			}
		});
	}

	private void onSnapshot(TopicSnapshot snapshot) {
		this.failureCount = 0;
		this.era = snapshot.end().era();
		Optional<LeaseEntry> lease = snapshot.records()
			.stream()
			.flatMap((record) -> DutyCodec.decodeLease(record).stream())
			.findFirst();
		this.state.onSnapshot(lease, snapshot.end().offset(), this.clock.now());
		this.duty.onRecords(snapshot.records());
		step();
	}

	private void read(long waitMillis) {
		this.topic.readFrom(new TopicPosition(this.era, this.state.end()), waitMillis)
			.whenComplete((slice, failure) -> {
				synchronized (this.lock) {
					if (failure == null) {
						onSlice(slice);
					}
					else if (RecordsExpiredException.isCauseOf(failure)) {
						this.state.onExpired();
						step();
					}
					else {
						onFailure("read", failure);
					}
				}
			});
	}

	private void onSlice(TopicSlice slice) {
		this.failureCount = 0;
		List<LeaseEntry> leases = slice.records()
			.stream()
			.flatMap((record) -> DutyCodec.decodeLease(record).stream())
			.toList();
		this.state.onRead(leases, slice.nextOffset(), slice.reachesEnd(), this.clock.now());
		this.duty.onRecords(slice.records());
		step();
	}

	private void append(LeaseStep.Kind kind) {
		LeaseRecord lease = this.state.propose(kind, this.clock.now(), this.duty.standbys());
		List<KeyedRecord> records = new ArrayList<>();
		records.add(DutyCodec.encodeLease(lease));
		if (kind == LeaseStep.Kind.RENEW) {
			records.addAll(this.duty.toAppend());
		}
		this.appending = true;
		this.topic.appendAt(records, this.state.end()).whenComplete((result, failure) -> {
			synchronized (this.lock) {
				this.appending = false;
				onAppend(kind, lease, records, result, failure);
			}
		});
	}

	private void onAppend(LeaseStep.Kind kind, LeaseRecord lease, List<KeyedRecord> records, AppendResult result,
			Throwable failure) {
		if (failure != null) {
			this.state.onUnclear();
			onFailure(kind.name(), failure);
			return;
		}
		this.failureCount = 0;
		if (!result.appended()) {
			this.state.onUnclear();
			step();
			return;
		}
		this.state.onAppended(lease, result.firstOffset(), result.endOffset(), this.clock.now());
		this.duty.onRecords(records);
		step();
	}

	private void onFailure(String what, Throwable failure) {
		this.failureCount++;
		if (this.failureCount == 1) {
			Logger.warn("duties: {} not confirmed: {}", what, failure.toString());
		}
		noteOwner();
		pauseFor(this.backoff.delayMillis(this.failureCount));
	}

	/**
	 * Duty that the holder of the lease exercises. Called with the lock of the duty.
	 */
	interface Duty {

		/**
		 * Called with records of the topic of the duties; they may be repeated.
		 * @param records the records
		 */
		void onRecords(List<KeyedRecord> records);

		/**
		 * Called when this process has acquired the lease.
		 */
		void onAcquired();

		/**
		 * Called when this process has lost or released the lease.
		 */
		void onLost();

		/**
		 * Tells whether something is to be appended soon.
		 * @return whether the next renewal is urgent
		 */
		boolean hasToAppend();

		/**
		 * Returns the records that are appended together with a renewal.
		 * @return the records
		 */
		List<KeyedRecord> toAppend();

		/**
		 * Returns the processes that are to observe the lease continuously.
		 * @return their ids
		 */
		List<String> standbys();

	}

}
