package org.marjoramgw.direct.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.direct.caller.CallerEvents.Reason;
import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.policy.memory.MemoryUse;
import org.marjoramgw.policy.memory.Progress;
import org.marjoramgw.time.Timers;

/**
 * Ends connections that exceed their times, and those that hold what others need;
 * thread-safe.
 *
 * @author The marjoramgw authors
 */
final class CallerWatch {

	/** Interval of the checks while memory is short, in milliseconds. */
	private static final long SHORTAGE_MILLIS = 100;

	/**
	 * Interval of the checks of all connections for their times, in milliseconds.
	 */
	private static final long SWEEP_MILLIS = 500;

	/**
	 * Share of the connections that are closed at once when there are too many, so that
	 * they aren't all examined for each new one.
	 */
	private static final int EVICTED_SHARE = 32;

	/**
	 * Share of the memory that connections may use, one in this many parts, before idle
	 * ones give way to bodies that wait.
	 */
	private static final long CONNECTION_SHARE = 4;

	/** Interval of the checks of a head that was incomplete at its timeout. */
	private static final long HEAD_RECHECK_MILLIS = 200;

	private final Timers timers;

	private final LongSupplier clock;

	private final Supplier<CallerLimits> limits;

	private final MemoryBudget memory;

	private final Map<?, WatchedConnection> connections;

	private final BooleanSupplier accepting;

	private final CallerEvents events;

	private final CheckSchedule schedule;

	private volatile long sweptMillis;

	/**
	 * Creates a watch.
	 * @param timers timers
	 * @param clock monotonic clock, in milliseconds
	 * @param limits current limits on callers
	 * @param memory memory of what is held for callers
	 * @param connections all connections
	 * @param accepting tells whether further connections may come
	 * @param events receives what was ended
	 */
	CallerWatch(Timers timers, LongSupplier clock, Supplier<CallerLimits> limits, MemoryBudget memory,
			Map<?, WatchedConnection> connections, BooleanSupplier accepting, CallerEvents events) {
		this.timers = timers;
		this.clock = clock;
		this.limits = limits;
		this.memory = memory;
		this.connections = connections;
		this.accepting = accepting;
		this.events = events;
		this.sweptMillis = clock.getAsLong();
		this.schedule = new CheckSchedule(timers, clock, this::check, this::nextCheckMillis);
	}

	/**
	 * Starts to check. Nothing is checked while there are no connections and no shortage
	 * of memory.
	 */
	void start() {
		this.memory.whenShort(() -> this.schedule.runWithin(SHORTAGE_MILLIS));
		this.schedule.runWithin(SHORTAGE_MILLIS);
	}

	/**
	 * Called when a connection was added.
	 */
	void onAdded() {
		this.schedule.runWithin(isShort() ? SHORTAGE_MILLIS : SWEEP_MILLIS);
	}

	/**
	 * Closes some connections that have been idle for the longest time, or else some that
	 * have not sent a complete head.
	 * @return whether there were any
	 */
	boolean evict() {
		return evict(WatchedConnection::isIdle, WatchedConnection::quietSinceMillis)
				|| evict(WatchedConnection::isHeadIncomplete, WatchedConnection::arrivedMillis);
	}

	private boolean evict(Predicate<WatchedConnection> condition, ToLongFunction<WatchedConnection> sinceMillis) {
		List<WatchedConnection> chosen = this.connections.values()
			.stream()
			.filter(condition)
			.map((each) -> Map.entry(sinceMillis.applyAsLong(each), each))
			.sorted(Map.Entry.comparingByKey())
			.limit(1 + this.connections.size() / EVICTED_SHARE)
			.map(Map.Entry::getValue)
			.toList();
		chosen.forEach((each) -> close(each, Reason.EVICTED));
		return !chosen.isEmpty();
	}

	/**
	 * Checks the head that bytes belong to, which are about to be taken. Called with the
	 * lock of the socket.
	 * @param watched the connection
	 * @param bytes the bytes
	 */
	void onTaking(WatchedConnection watched, ByteString bytes) {
		CallerConnection connection = watched.connection();
		Optional<Reason> refusal = connection.examine(bytes, this.limits.get().maxHeaderBytes());
		if (refusal.isPresent()) {
			record(refusal.get(), watched.socket().memory().heldBytes());
			watched.socket().endInput();
			return;
		}
		int headNumber = connection.onBytes();
		if (headNumber > 0) {
			long waitedMillis = watched.isHeadKnown() ? 0 : this.clock.getAsLong() - watched.arrivedMillis();
			long leftMillis = this.limits.get().headerTimeoutMillis() - waitedMillis;
			scheduleHeadTimeout(watched, headNumber, Math.max(leftMillis, HEAD_RECHECK_MILLIS));
		}
	}

	void record(Reason reason, long heldBytes) {
		this.events.record(reason, this.clock.getAsLong(), heldBytes, this.memory.usedBytes());
	}

	private void scheduleHeadTimeout(WatchedConnection watched, int headNumber, long delayMillis) {
		this.timers.schedule(delayMillis, () -> {
			if (!watched.connection().isReadingHead(headNumber)) {
				return;
			}
			// Bytes that were not taken yet may complete the head.
			if (watched.socket().hasUnread() || watched.connection().closeIfHeadIncomplete(headNumber)) {
				scheduleHeadTimeout(watched, headNumber, HEAD_RECHECK_MILLIS);
			}
			else {
				record(Reason.HEAD_TOO_LATE, watched.socket().memory().heldBytes());
			}
		});
	}

	private void check() {
		long nowMillis = this.clock.getAsLong();
		if (nowMillis - this.sweptMillis >= SWEEP_MILLIS) {
			this.sweptMillis = nowMillis;
			this.connections.values().forEach((each) -> checkTimes(each, nowMillis));
		}
		if (isMemoryWanted()) {
			reclaim(nowMillis);
		}
		if (!this.memory.hasRoom()) {
			evict();
		}
		else if (hasTooManyConnections()) {
			// Leaves room for requests, and for the garbage collector.
			evict(WatchedConnection::isIdle, WatchedConnection::quietSinceMillis);
		}
	}

	private long nextCheckMillis() {
		if (this.connections.isEmpty() && !(this.accepting.getAsBoolean() && isShort())) {
			return CheckSchedule.NEVER;
		}
		long sweepMillis = this.sweptMillis + SWEEP_MILLIS - this.clock.getAsLong();
		return isShort() ? SHORTAGE_MILLIS : Math.max(SHORTAGE_MILLIS, sweepMillis);
	}

	private boolean isShort() {
		return isMemoryWanted() || hasTooManyConnections();
	}

	private boolean isMemoryWanted() {
		return this.memory.hasWaiting() || !this.memory.hasRoom();
	}

	private boolean hasTooManyConnections() {
		return this.memory.usedBytes(MemoryUse.CONNECTIONS) > this.memory.totalBytes() / 4 * 3;
	}

	private void checkTimes(WatchedConnection each, long nowMillis) {
		each.observe(nowMillis);
		CallerLimits current = this.limits.get();
		if (nowMillis - each.quietSinceMillis() >= current.idleTimeoutMillis()) {
			endQuiet(each);
		}
		else if (nowMillis - each.arrivedMillis() >= current.headerTimeoutMillis() && each.isHeadIncomplete()) {
			close(each, Reason.HEAD_TOO_LATE);
		}
	}

	private void endQuiet(WatchedConnection each) {
		if (!each.socket().isWriting()) {
			each.connection().finishIfIdle();
			return;
		}
		// The peer may have read while this process was suspended.
		each.socket().writeRemaining();
		if (each.socket().isWriting() && !each.socket().takeActivity()) {
			close(each, Reason.RESPONSE_UNREAD);
		}
	}

	private void reclaim(long nowMillis) {
		this.memory.resumeWaiting();
		List<Progress<WatchedConnection>> all = this.connections.values()
			.stream()
			.filter(WatchedConnection::isReclaimable)
			.peek((each) -> each.observe(nowMillis))
			.map((each) -> each.progress(nowMillis))
			.toList();
		List<WatchedConnection> victims = Progress.chooseVictims(all);
		victims.forEach(this::reclaim);
		if (victims.isEmpty()
				&& this.memory.usedBytes(MemoryUse.CONNECTIONS) > this.memory.totalBytes() / CONNECTION_SHARE) {
			evict(WatchedConnection::isIdle, WatchedConnection::quietSinceMillis);
		}
	}

	private void reclaim(WatchedConnection victim) {
		long heldBytes = victim.socket().memory().heldBytes();
		if (victim.connection().refuseBody()) {
			record(Reason.BODY_RECLAIMED, heldBytes);
		}
		else if (victim.socket().isWriting()) {
			close(victim, Reason.RESPONSE_RECLAIMED);
		}
	}

	private void close(WatchedConnection each, Reason reason) {
		record(reason, each.socket().memory().heldBytes());
		each.socket().close();
		each.connection().markOpened();
	}

}
