package org.marjoramgw.direct.duty;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.usage.TrueClock;
import org.marjoramgw.policy.usage.UsageCounter;
import org.marjoramgw.policy.usage.UsageWindows;
import org.marjoramgw.policy.usage.WindowCounts;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Shares the counts of this process in the topic of the usage, once in each window and at
 * the end; thread-safe.
 * <p>
 * An append carries the last window, which is complete, and the part of the present one.
 * Each process has its own place in the window, so that the appends of all are spread.
 * The counts are cumulative, so an append may be repeated.
 *
 * @author The marjoramgw authors
 */
final class UsageSharing {

	/**
	 * Delay of the first append, by which this process makes itself known; a process that
	 * has just started is short of CPU time.
	 */
	private static final long FIRST_DELAY_MILLIS = 1_000;

	private final DutyMember member;

	private final UsageCounter counter;

	private final UsageWindows windows;

	private final TrueClock trueClock;

	private final AppendableTopic topic;

	private final Timers timers;

	private final Backoff backoff;

	private final long shareMillis;

	private CompletableFuture<Void> running;

	private int failureCount;

	private boolean closed;

	/**
	 * Creates a sharing.
	 * @param member this process
	 * @param counter counter of this process
	 * @param windows the windows
	 * @param trueClock clock of the true time
	 * @param topic topic of the usage
	 * @param timers timers
	 * @param backoff delays before failed appends are repeated
	 * @param position place of this process in the window, from 0 to 1
	 */
	UsageSharing(DutyMember member, UsageCounter counter, UsageWindows windows, TrueClock trueClock,
			AppendableTopic topic, Timers timers, Backoff backoff, double position) {
		this.member = member;
		this.counter = counter;
		this.windows = windows;
		this.trueClock = trueClock;
		this.topic = topic;
		this.timers = timers;
		this.backoff = backoff;
		this.shareMillis = windows.shareMillis(position);
	}

	/**
	 * Starts to share.
	 */
	void start() {
		this.counter.open();
		this.timers.schedule(FIRST_DELAY_MILLIS + this.shareMillis, this::shareRegularly);
	}

	/**
	 * Shares the counts that have changed, also while a regular append goes on.
	 * @return completes when they are shared, or when that has failed
	 */
	CompletionStage<Void> close() {
		CompletableFuture<Void> pending;
		synchronized (this) {
			this.closed = true;
			pending = this.running;
		}
		return (pending != null) ? pending.thenCompose((done) -> shareOnce()) : shareOnce();
	}

	private void shareRegularly() {
		synchronized (this) {
			if (this.closed) {
				return;
			}
		}
		shareOnce().whenComplete((done, failure) -> scheduleNext());
	}

	private void scheduleNext() {
		long delayMillis;
		synchronized (this) {
			delayMillis = (this.failureCount > 0) ? this.backoff.delayMillis(this.failureCount) : untilNextMillis();
		}
		this.timers.schedule(delayMillis, this::shareRegularly);
	}

	private long untilNextMillis() {
		long nowMillis = this.trueClock.nowMillis();
		long nextMillis = this.windows.endMillis(this.windows.at(nowMillis - this.shareMillis)) + this.shareMillis;
		return Math.max(1, nextMillis - nowMillis);
	}

	private CompletableFuture<Void> shareOnce() {
		List<WindowCounts> changed = this.counter.changed();
		if (changed.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		CompletableFuture<Void> done = new CompletableFuture<>();
		synchronized (this) {
			this.running = done;
		}
		long revision = this.counter.nextRevision();
		this.topic
			.append(changed.stream().map((counts) -> DutyCodec.encodeCounts(this.member, revision, counts)).toList())
			.whenComplete((ignored, failure) -> {
				onResult(changed, failure);
				done.complete(null);
			});
		return done;
	}

	private void onResult(List<WindowCounts> changed, Throwable failure) {
		boolean first;
		synchronized (this) {
			this.running = null;
			this.failureCount = (failure != null) ? this.failureCount + 1 : 0;
			first = this.failureCount == 1;
		}
		if (failure == null) {
			this.counter.onShared(changed);
		}
		else {
			this.counter.onUnclear(changed);
		}
		if (first) {
			Logger.warn("usage: counts of {} windows not shared yet: {}", changed.size(), failure.toString());
		}
	}

}
