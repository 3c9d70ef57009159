package org.marjoramgw.policy.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.marjoramgw.time.ClockReading;

/**
 * Decides when a process acquires, renews and releases the lease on a duty, and whether
 * it holds it. Not thread-safe.
 * <p>
 * Every record is appended on condition that the topic still ends where this process has
 * read to. So each record was written in knowledge of all earlier ones, and the offset of
 * the record that acquired the lease is a token that is unique and rises. An append
 * without an answer is looked up; if it is not found it may still be executed later, but
 * then every other append with the same condition fails.
 * <p>
 * The holder measures the age of its lease from the sending of the last record that it
 * found in the topic, by the clock that shows more, the steady one or the time of day;
 * others measure from when they first saw it, by the steady clock alone.
 *
 * @author The marjoramgw authors
 */
public final class LeaseState {

	/**
	 * Bounds of the random delay before an attempt to acquire a lease that nobody holds.
	 */
	private static final long FREE_SPREAD_MILLIS = 1_500;

	/** The same of a standby, when the lease expires or is released. */
	private static final long STANDBY_SPREAD_MILLIS = 250;

	/** The same of other processes, which leave standbys the first attempt. */
	private static final long OTHER_SPREAD_MILLIS = 700;

	/** Delay of an attempt for each millisecond of scheduling lag. */
	private static final int LAG_FACTOR = 4;

	private static final long MAX_LAG_DELAY_MILLIS = 2_000;

	/** Shortest interval between two appends of the holder. */
	private static final long MIN_APPEND_INTERVAL_MILLIS = 400;

	/** Share of the mean interval between checks that always passes between two. */
	private static final double SHORTEST_CHECK = 0.5;

	/** Share of the usual interval after which the lease of a new holder is checked. */
	private static final double NEW_HOLDER_SHARE = 0.5;

	/** Longest wait of a read; bounds how long a dead connection goes unnoticed. */
	private static final long MAX_READ_MILLIS = 3_000;

	private final String process;

	private final long incarnation;

	private final LeaseTimes times;

	private final Random random;

	private final Map<Long, ClockReading> sent = new HashMap<>();

	private long end = -1;

	private boolean unclear;

	private LeaseRecord current;

	private long seenMillis;

	private double delayShare;

	private boolean suspected;

	private long nextCheckMillis;

	private long notBeforeMillis;

	private long sequence;

	private ClockReading lastSent;

	private ClockReading confirmed;

	private long heldSinceMillis;

	private long refusedToken = -1;

	private boolean closing;

	/**
	 * Creates the state of a process that has just started.
	 * @param process id of the process
	 * @param incarnation start of the process, in milliseconds since the Unix epoch
	 * @param times times of the lease
	 * @param random source of randomness
	 */
	public LeaseState(String process, long incarnation, LeaseTimes times, Random random) {
		this.process = process;
		this.incarnation = incarnation;
		this.times = times;
		this.random = random;
	}

	/**
	 * Returns the offset up to which this process has read the topic.
	 * @return offset of the next record, or -1 if nothing was read yet
	 */
	public long end() {
		return this.end;
	}

	/**
	 * Decides on the next step, after the result of the last one was reported.
	 * @param now present time
	 * @param lagMillis scheduling lag of this process, in milliseconds
	 * @param pending whether the holder has something to append with its next renewal
	 * @return the step
	 */
	public LeaseStep next(ClockReading now, long lagMillis, boolean pending) {
		if (this.end < 0) {
			return LeaseStep.of(this.closing ? LeaseStep.Kind.STOP : LeaseStep.Kind.SNAPSHOT);
		}
		if (this.unclear) {
			return LeaseStep.of(LeaseStep.Kind.READ);
		}
		if (isOwn()) {
			return nextOfHolder(now, pending);
		}
		return this.closing ? LeaseStep.of(LeaseStep.Kind.STOP) : nextOfObserver(now.monotonicMillis(), lagMillis);
	}

	private LeaseStep nextOfHolder(ClockReading now, boolean pending) {
		if (this.closing || this.current.token() == this.refusedToken) {
			return LeaseStep.of(LeaseStep.Kind.RELEASE);
		}
		long dueMillis = pending ? MIN_APPEND_INTERVAL_MILLIS : this.times.renewMillis();
		long agoMillis = (this.lastSent != null) ? ageMillis(this.lastSent, now) : dueMillis;
		return (agoMillis >= dueMillis) ? LeaseStep.of(LeaseStep.Kind.RENEW)
				: new LeaseStep(LeaseStep.Kind.PAUSE, dueMillis - agoMillis);
	}

	private LeaseStep nextOfObserver(long nowMillis, long lagMillis) {
		boolean watching = isFree() || isStandby() || this.suspected;
		if (!watching && nowMillis >= this.nextCheckMillis) {
			// Renewals since the last check are read before the lease is taken for
			// expired.
			return LeaseStep.of(LeaseStep.Kind.READ);
		}
		long untilMillis = acquireMillis(lagMillis) - nowMillis;
		if (untilMillis <= 0) {
			return LeaseStep.of(LeaseStep.Kind.ACQUIRE);
		}
		if (watching) {
			return new LeaseStep(LeaseStep.Kind.READ, Math.min(untilMillis, MAX_READ_MILLIS));
		}
		return new LeaseStep(LeaseStep.Kind.PAUSE, this.nextCheckMillis - nowMillis);
	}

	/**
	 * Returns the time from which this process may try to acquire the lease.
	 * @param lagMillis its scheduling lag, since a busy process leaves the duty to others
	 * @return the time by the steady clock, in milliseconds
	 */
	private long acquireMillis(long lagMillis) {
		long expiresMillis = this.seenMillis;
		if (!isFree()) {
			expiresMillis += this.times.termMillis() + this.times.marginMillis();
		}
		return Math.max(this.notBeforeMillis, expiresMillis + delayMillis())
				+ Math.min(MAX_LAG_DELAY_MILLIS, LAG_FACTOR * lagMillis);
	}

	private long delayMillis() {
		if (this.current == null) {
			return (long) (this.delayShare * FREE_SPREAD_MILLIS);
		}
		return (long) (isStandby() ? this.delayShare * STANDBY_SPREAD_MILLIS
				: STANDBY_SPREAD_MILLIS + this.delayShare * OTHER_SPREAD_MILLIS);
	}

	/**
	 * Creates the record of an append and notes when it is sent.
	 * @param kind kind of the step
	 * @param now present time
	 * @param standbys ids of the processes that are to observe the lease continuously
	 * @return the record
	 */
	public LeaseRecord propose(LeaseStep.Kind kind, ClockReading now, List<String> standbys) {
		this.sequence++;
		this.sent.put(this.sequence, now);
		this.lastSent = now;
		long token = (kind == LeaseStep.Kind.ACQUIRE) ? LeaseRecord.ACQUIRING : this.current.token();
		return new LeaseRecord(this.process, this.incarnation, token, this.sequence, kind == LeaseStep.Kind.RELEASE,
				now.wallClockMillis(), standbys);
	}

	/**
	 * Reports a snapshot of the topic.
	 * @param lease the latest record of the lease, or empty if there is none
	 * @param endOffset offset of the next record
	 * @param now present time
	 */
	public void onSnapshot(Optional<LeaseEntry> lease, long endOffset, ClockReading now) {
		boolean first = this.end < 0;
		this.end = endOffset;
		this.unclear = false;
		if (lease.isEmpty()) {
			if (isOwn()) {
				lose(now);
			}
			this.current = null;
			observe(now);
			return;
		}
		accept(lease.get(), now);
		observe(now);
		scheduleCheck(now, true);
		if (first && !this.current.process().equals(this.process)) {
			// An earlier incarnation may have held the lease before the present holder.
			this.notBeforeMillis = now.monotonicMillis() + this.times.returnMillis();
		}
	}

	/**
	 * Reports that the records of the topic from {@link #end()} on are no longer
	 * retained.
	 */
	public void onExpired() {
		this.end = -1;
	}

	/**
	 * Reports a read from {@link #end()} on.
	 * @param leases the records of the lease among those that were read
	 * @param nextOffset offset to read from next
	 * @param reachesEnd whether the topic ends there
	 * @param now present time
	 */
	public void onRead(List<LeaseEntry> leases, long nextOffset, boolean reachesEnd, ClockReading now) {
		this.end = nextOffset;
		this.unclear = !reachesEnd;
		long token = token();
		leases.forEach((lease) -> accept(lease, now));
		if (!leases.isEmpty()) {
			observe(now);
		}
		scheduleCheck(now, token() != token);
	}

	/**
	 * Reports that an append was executed.
	 * @param lease the record of the lease, which was the first of the append
	 * @param offset its offset
	 * @param endOffset offset of the next record
	 * @param now present time
	 */
	public void onAppended(LeaseRecord lease, long offset, long endOffset, ClockReading now) {
		onRead(List.of(new LeaseEntry(offset, lease)), endOffset, true, now);
	}

	/**
	 * Reports that an append was not executed or got no answer; the topic shows which.
	 */
	public void onUnclear() {
		this.unclear = true;
	}

	/**
	 * Reports that the receiver of the duty's calls has refused the token.
	 * @param token the token
	 * @param now present time
	 */
	public void onRefused(long token, ClockReading now) {
		this.refusedToken = Math.max(this.refusedToken, token);
		this.notBeforeMillis = now.monotonicMillis() + this.times.returnMillis();
	}

	/**
	 * Gives the lease up for good, because the process stops.
	 */
	public void close() {
		this.closing = true;
	}

	/**
	 * Tells whether the lease is this process's according to the topic. It may have
	 * expired.
	 * @return whether no other process has acquired it
	 */
	public boolean isOwn() {
		return this.current != null && !this.current.released() && this.current.isOf(this.process, this.incarnation);
	}

	/**
	 * Tells whether this process may exercise the duty.
	 * @param now present time
	 * @return whether it holds the lease and the lease is valid long enough for a call
	 */
	public boolean isHeld(ClockReading now) {
		return isOwn() && !this.closing && this.confirmed != null && this.current.token() != this.refusedToken
				&& now.monotonicMillis() - this.heldSinceMillis >= this.times.idleMillis()
				&& ageMillis(this.confirmed, now) < this.times.termMillis() - this.times.callMarginMillis();
	}

	/**
	 * Returns the token of the latest holder.
	 * @return the token, or -1 if there was none
	 */
	public long token() {
		return (this.current != null) ? this.current.token() : -1;
	}

	/**
	 * Returns the id of the process that has the lease according to the topic.
	 * @return the id, or an empty string if there is none
	 */
	public String holder() {
		return isFree() ? "" : this.current.process();
	}

	private void accept(LeaseEntry entry, ClockReading now) {
		LeaseRecord lease = entry.lease().at(entry.offset());
		boolean owned = isOwn();
		boolean sameToken = this.current != null && this.current.token() == lease.token();
		this.current = lease;
		if (lease.isOf(this.process, this.incarnation)) {
			ClockReading sending = this.sent.get(lease.sequence());
			this.confirmed = (sending != null) ? sending : this.confirmed;
			this.sent.keySet().removeIf((number) -> number <= lease.sequence());
			if (!sameToken) {
				this.heldSinceMillis = now.monotonicMillis();
			}
		}
		else if (owned) {
			lose(now);
		}
	}

	private void lose(ClockReading now) {
		this.confirmed = null;
		this.notBeforeMillis = now.monotonicMillis() + this.times.returnMillis();
	}

	/**
	 * Begins to measure the age of the lease anew, after a record of it was seen.
	 * @param now present time
	 */
	private void observe(ClockReading now) {
		this.seenMillis = now.monotonicMillis();
		this.delayShare = this.random.nextDouble();
		// The clocks of two processes may differ, so an old record is only looked at more
		// closely, and once: a record that arrives meanwhile shows that the holder lives.
		this.suspected = !this.suspected && this.current != null
				&& now.wallClockMillis() - this.current.sentMillis() > this.times.termMillis();
	}

	private boolean isFree() {
		return this.current == null || this.current.released();
	}

	private boolean isStandby() {
		return this.current != null && this.current.standbys().contains(this.process);
	}

	/**
	 * Schedules the next check of the lease. A new holder knows its standbys after some
	 * seconds, so that they are to look again soon.
	 * @param now present time
	 * @param newHolder whether the holder is new
	 */
	private void scheduleCheck(ClockReading now, boolean newHolder) {
		double share = newHolder ? NEW_HOLDER_SHARE : 1;
		this.nextCheckMillis = now.monotonicMillis()
				+ (long) (share * this.times.checkMillis() * (SHORTEST_CHECK + this.random.nextDouble()));
	}

	private static long ageMillis(ClockReading earlier, ClockReading now) {
		return Math.max(now.monotonicMillis() - earlier.monotonicMillis(),
				now.wallClockMillis() - earlier.wallClockMillis());
	}

}
