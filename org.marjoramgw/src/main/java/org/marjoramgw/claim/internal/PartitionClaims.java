package org.marjoramgw.claim.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.claim.ClaimSettings;
import org.marjoramgw.claim.ProcessIncarnation;
import org.marjoramgw.log.LogService;
import org.marjoramgw.metrics.ResultCounters;

/**
 * Claims that this process makes in one partition.
 * <p>
 * One cycle appends everything that waits in one append, reads the stream to its end, and
 * settles the attempts by what the stream shows. Cycles don't overlap; other threads only
 * add work.
 *
 * @author The marjoramgw authors
 */
public final class PartitionClaims {

	/** Skew allowed between the clocks of callers, processes and the log. */
	public static final long CLOCK_SKEW_MILLIS = 60_000;

	private static final int BATCH_RECORDS = 200;

	private final PartitionStream stream;

	private final ClaimSettings settings;

	private final ProcessIncarnation self;

	private final ClaimConflictResolver conflictResolver;

	private final MillisClock clock;

	private final BiConsumer<ClaimKey, String> wonListener;

	private final ClaimState state;

	private final Outbox outbox = new Outbox();

	private final ConcurrentLinkedQueue<ClaimAttempt> incoming = new ConcurrentLinkedQueue<>();

	private final List<ClaimAttempt> attempts = new ArrayList<>();

	/**
	 * Creates the claims of a partition.
	 * @param stream name of the partition's stream
	 * @param log the log service
	 * @param settings bounds
	 * @param self this process
	 * @param judge judge of claims that didn't win
	 * @param clock the clock
	 * @param counters counters of results
	 * @param wonListener is told of a won key and its claim before the verdict is given
	 */
	public PartitionClaims(String stream, LogService log, ClaimSettings settings, ProcessIncarnation self,
			ClaimConflictResolver judge, MillisClock clock, ResultCounters counters,
			BiConsumer<ClaimKey, String> wonListener) {
		this.settings = settings;
		this.self = self;
		this.conflictResolver = judge;
		this.clock = clock;
		this.wonListener = wonListener;
		long keptMillis = settings.windowMillis() + 2 * CLOCK_SKEW_MILLIS;
		ClaimRecordCodec codec = new ClaimRecordCodec();
		this.state = new ClaimState(keptMillis, settings.maxKeys(), codec);
		this.stream = new PartitionStream(stream, log, codec, this.state, counters);
	}

	/**
	 * Adds an attempt for the next cycle; thread-safe.
	 * @param attempt the attempt
	 */
	public void submit(ClaimAttempt attempt) {
		this.incoming.add(attempt);
	}

	/**
	 * Adds a result or a release for the next cycle; thread-safe.
	 * @param record the record
	 */
	public void submit(ClaimRecord record) {
		this.outbox.add(record);
	}

	/**
	 * Tells whether records wait for the log; thread-safe.
	 * @return whether results or releases are left
	 */
	public boolean hasUnsent() {
		return !this.outbox.isEmpty();
	}

	/**
	 * Runs one cycle; blocks.
	 * @return what is left to do
	 */
	public CycleOutcome cycle() {
		drainIncoming();
		if (!this.stream.isCaughtUp() && !this.attempts.isEmpty() && !this.stream.readToEnd()) {
			dropTimedOut();
			return CycleOutcome.LOG_UNAVAILABLE;
		}
		refuseEvictedKeys();
		boolean appended = appendPending();
		// Without an open attempt nothing depends on what the stream shows.
		boolean skipsRead = appended && this.attempts.isEmpty();
		boolean read = skipsRead || this.stream.readToEnd();
		if (read && !skipsRead) {
			this.outbox.removeRecorded(this.state);
			resolveAttempts();
		}
		dropTimedOut();
		if (!appended || !read) {
			return CycleOutcome.LOG_UNAVAILABLE;
		}
		boolean idle = this.attempts.isEmpty() && this.incoming.isEmpty() && this.outbox.isEmpty();
		return idle ? CycleOutcome.IDLE : CycleOutcome.MORE;
	}

	private void drainIncoming() {
		ClaimAttempt attempt = this.incoming.poll();
		while (attempt != null) {
			this.attempts.add(attempt);
			attempt = this.incoming.poll();
		}
	}

	/**
	 * Refuses keys about which claims within the window may have been forgotten.
	 */
	private void refuseEvictedKeys() {
		long forgottenUntilMillis = this.state.evictedUntilMillis();
		if (forgottenUntilMillis < this.clock.nowMillis() - this.settings.windowMillis()) {
			return;
		}
		for (ClaimAttempt attempt : this.attempts) {
			OptionalLong keyTime = KeyTimestamp.of(attempt.key().key());
			boolean known = this.state.holder(attempt.hash()).isPresent();
			if (!known && keyTime.isEmpty()) {
				refuse(attempt, ResultCode.CLAIM_UNAVAILABLE);
			}
			else if (!known && keyTime.getAsLong() < forgottenUntilMillis + CLOCK_SKEW_MILLIS) {
				refuse(attempt, ResultCode.KEY_EXPIRED);
			}
		}
	}

	private boolean appendPending() {
		List<ClaimRecord> sent = this.outbox.first(BATCH_RECORDS);
		List<ClaimAttempt> claims = attemptsToAppend(sent);
		List<ClaimRecord> batch = new ArrayList<>(sent);
		claims.forEach((claim) -> batch.add(claim.record(this.self.processId(), this.self.incarnation())));
		if (batch.isEmpty()) {
			return true;
		}
		return switch (this.stream.append(batch)) {
			case DONE -> {
				this.outbox.removeAll(sent);
				claims.forEach((claim) -> claim.setInLog(true));
				yield true;
			}
			case NOT_DONE -> false;
			case UNKNOWN -> {
				claims.forEach(ClaimAttempt::setMayBeInLog);
				yield false;
			}
		};
	}

	private List<ClaimAttempt> attemptsToAppend(List<ClaimRecord> sent) {
		List<ClaimAttempt> result = new ArrayList<>();
		for (ClaimAttempt attempt : this.attempts) {
			boolean room = sent.size() + result.size() < BATCH_RECORDS;
			if (room && !attempt.decision().isDone() && !attempt.isInLog() && isFree(attempt.hash(), sent)) {
				result.add(attempt);
			}
		}
		return result;
	}

	/**
	 * Tells whether a claim could hold the key now, or once releases ahead of it in the
	 * same append took effect.
	 * @param key hash of the key
	 * @param sent records ahead of the claim
	 * @return whether it is worth an append
	 */
	private boolean isFree(TruncatedSha256 key, List<ClaimRecord> sent) {
		Optional<HeldClaim> holder = this.state.holder(key);
		if (holder.isEmpty()) {
			return true;
		}
		String claimId = holder.get().claimId();
		return sent.stream()
			.anyMatch((record) -> record instanceof ClaimRecord.Release && record.claimId().equals(claimId));
	}

	private void resolveAttempts() {
		Iterator<ClaimAttempt> iterator = this.attempts.iterator();
		while (iterator.hasNext()) {
			ClaimAttempt attempt = iterator.next();
			if (!attempt.decision().isDone() && tryResolve(attempt)) {
				iterator.remove();
			}
		}
	}

	private boolean tryResolve(ClaimAttempt attempt) {
		Optional<HeldClaim> holder = this.state.holder(attempt.hash());
		if (holder.isEmpty()) {
			// A claim that was in the log came too late, and its key is free again.
			attempt.setInLog(false);
			return false;
		}
		if (holder.get().claimId().equals(attempt.claimId())) {
			completeWon(attempt);
			return true;
		}
		if (this.outbox.containsRelease(holder.get().claimId())) {
			return false;
		}
		ClaimDecision verdict = this.conflictResolver.resolve(this.stream.name(), attempt.request(), holder.get());
		attempt.decision().complete(verdict);
		releaseLateCopy(attempt);
		return true;
	}

	private void completeWon(ClaimAttempt attempt) {
		this.wonListener.accept(attempt.key(), attempt.claimId());
		if (!attempt.decision().complete(new ClaimDecision.Won())) {
			this.wonListener.accept(attempt.key(), null);
			release(attempt);
		}
	}

	private void refuse(ClaimAttempt attempt, ResultCode code) {
		attempt.decision().complete(new ClaimDecision.Refused(code));
	}

	/**
	 * Gives back the claims of attempts whose caller no longer waits.
	 */
	private void dropTimedOut() {
		Iterator<ClaimAttempt> iterator = this.attempts.iterator();
		while (iterator.hasNext()) {
			ClaimAttempt attempt = iterator.next();
			if (attempt.decision().isDone()) {
				iterator.remove();
				if (attempt.mayBeInLog()) {
					release(attempt);
				}
			}
		}
	}

	/**
	 * Makes sure that a copy of a refused claim that arrives late never holds the key.
	 * @param attempt the refused attempt
	 */
	private void releaseLateCopy(ClaimAttempt attempt) {
		if (attempt.mayBeInLog() && !attempt.isInLog()) {
			release(attempt);
		}
	}

	private void release(ClaimAttempt attempt) {
		this.outbox.add(new ClaimRecord.Release(attempt.claimId(), attempt.hash().toString()));
	}

	/**
	 * What a cycle left to do.
	 */
	public enum CycleOutcome {

		/** Nothing is left. */
		IDLE,

		/** Work is left for the next cycle. */
		MORE,

		/** The log failed; the next cycle waits longer. */
		LOG_UNAVAILABLE

	}

}
