package org.marjoramgw.http;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.IntSupplier;

import org.tinylog.Logger;

/**
 * Counts why a server closed connections, and logs it in one line at most every few
 * seconds; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class ServerReport {

	private static final long INTERVAL_NANOS = 5_000_000_000L;

	private final MemoryBudget budget;

	private final IntSupplier connectionCount;

	private final AtomicLongArray countByReason = new AtomicLongArray(CloseReason.values().length);

	private long loggedCount;

	private long loggedNanos;

	ServerReport(MemoryBudget budget, IntSupplier connectionCount) {
		this.budget = budget;
		this.connectionCount = connectionCount;
		this.loggedNanos = budget.nowNanos();
	}

	void count(CloseReason reason) {
		this.countByReason.incrementAndGet(reason.ordinal());
	}

	/**
	 * Returns the number of connections that were closed because of a limit.
	 * @return number of connections, without idle ones
	 */
	long closedCount() {
		return total(CloseReason.values()) - this.countByReason.get(CloseReason.IDLE.ordinal());
	}

	synchronized void logIfDue(long nowNanos) {
		long total = closedCount() + this.budget.reclaimedCount() + this.budget.refusedCount();
		if (total == this.loggedCount || nowNanos - this.loggedNanos < INTERVAL_NANOS) {
			return;
		}
		this.loggedCount = total;
		this.loggedNanos = nowNanos;
		Logger.warn(
				"callers over limits since the start: {} heads, {} unread bodies, {} stalled, {} surplus connections; "
						+ "memory reclaimed {} times, refused {} times, {} of {} bytes held, {} connections",
				total(CloseReason.HEAD), total(CloseReason.BODY), total(CloseReason.STALLED),
				total(CloseReason.SURPLUS), this.budget.reclaimedCount(), this.budget.refusedCount(),
				this.budget.usedBytes(), this.budget.maxBytes(), this.connectionCount.getAsInt());
	}

	private long total(CloseReason... reasons) {
		long sum = 0;
		for (CloseReason reason : reasons) {
			sum += this.countByReason.get(reason.ordinal());
		}
		return sum;
	}

}
