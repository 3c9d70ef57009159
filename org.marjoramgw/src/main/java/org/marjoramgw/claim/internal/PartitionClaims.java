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
 * Claims of this process in one partition.
 * <p>
 * Each cycle appends pending records in a batch, reads the stream to its end, and decides
 * the attempts from the resulting state. Cycles never overlap; other threads only submit
 * attempts and records.
 *
 * @author The marjoramgw authors
 */
public final class PartitionClaims {

	/** Tolerated skew between the clocks of callers, processes and the log service. */
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
	 * @param settings the settings
	 * @param self this process
	 * @param conflictResolver decides on claims whose key is held by another claim
	 * @param clock the clock
	 * @param counters counters of result codes
	 * @param wonListener called with a key and the id of the claim that holds it before
	 * the claim's decision completes, and with the key and {@code null} if the decision
	 * turns out to be completed already
	 */
	public PartitionClaims(String stream, LogService log, ClaimSettings settings, ProcessIncarnation self,
			ClaimConflictResolver conflictResolver, MillisClock clock, ResultCounters counters,
			BiConsumer<ClaimKey, String> wonListener) {
		this.settings = settings;
		this.self = self;
		this.conflictResolver = conflictResolver;
		this.clock = clock;
		this.wonListener = wonListener;
		long retentionMillis = settings.windowMillis() + 2 * CLOCK_SKEW_MILLIS;
		ClaimRecordCodec codec = new ClaimRecordCodec();
		this.state = new ClaimState(retentionMillis, settings.maxKeys(), codec);
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
	 * Tells whether results or releases wait to be appended; thread-safe.
	 * @return whether there are any
	 */
	public boolean hasPendingRecords() {
		return !this.outbox.isEmpty();
	}

	/**
	 * Runs one cycle; blocks.
	 * @return whether and how soon another cycle is needed
	 */
	public CycleOutcome cycle() {
		drainIncoming();
		if (!this.stream.isCaughtUp() && !this.attempts.isEmpty() && !this.stream.readToEnd()) {
			removeDecided();
			return CycleOutcome.LOG_UNAVAILABLE;
		}
		refuseEvictedKeys();
		boolean appended = appendPending();
		// Without pending attempts there is nothing to decide from the stream.
		boolean skipsRead = appended && this.attempts.isEmpty();
		boolean read = skipsRead || this.stream.readToEnd();
		if (read && !skipsRead) {
			this.outbox.removeRecorded(this.state);
			resolveAttempts();
		}
		removeDecided();
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
	 * Refuses attempts whose key may have been claimed within the window by a claim that
	 * was evicted early.
	 */
	private void refuseEvictedKeys() {
		long evictedUntilMillis = this.state.evictedUntilMillis();
		if (evictedUntilMillis < this.clock.nowMillis() - this.settings.windowMillis()) {
			return;
		}
		for (ClaimAttempt attempt : this.attempts) {
			OptionalLong keyTime = KeyTimestamp.of(attempt.key().key());
			boolean known = this.state.holder(attempt.keyHash()).isPresent();
			if (!known && keyTime.isEmpty()) {
				refuse(attempt, ResultCode.CLAIM_UNAVAILABLE);
			}
			else if (!known && keyTime.getAsLong() < evictedUntilMillis + CLOCK_SKEW_MILLIS) {
				refuse(attempt, ResultCode.KEY_EXPIRED);
			}
		}
	}

	private boolean appendPending() {
		List<ClaimRecord> sent = this.outbox.first(BATCH_RECORDS);
		List<ClaimAttempt> claims = attemptsToAppend(sent);
		List<ClaimRecord> batch = new ArrayList<>(sent);
		claims.forEach((claim) -> batch.add(claim.toRecord(this.self.processId(), this.self.incarnation())));
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
			if (room && !attempt.decision().isDone() && !attempt.isInLog() && isFree(attempt.keyHash(), sent)) {
				result.add(attempt);
			}
		}
		return result;
	}

	/**
	 * Tells whether a claim could hold the key now, or after the releases that precede it
	 * in the same append.
	 * @param key hash of the key
	 * @param sent records that precede the claim
	 * @return whether the claim should be appended
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
		Optional<HeldClaim> holder = this.state.holder(attempt.keyHash());
		if (holder.isEmpty()) {
			// The appended claim lost to another one that has been released or evicted
			// since, so a new claim record is needed.
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
		ClaimDecision decision = this.conflictResolver.resolve(this.stream.name(), attempt.requestHash(), holder.get());
		attempt.decision().complete(decision);
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
	 * Removes attempts that were refused or timed out, and releases their claims.
	 */
	private void removeDecided() {
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
	 * Releases a refused claim if a delayed append may still add its record to the log,
	 * so that the record can't hold the key.
	 * @param attempt the refused attempt
	 */
	private void releaseLateCopy(ClaimAttempt attempt) {
		if (attempt.mayBeInLog() && !attempt.isInLog()) {
			release(attempt);
		}
	}

	private void release(ClaimAttempt attempt) {
		this.outbox.add(new ClaimRecord.Release(attempt.claimId(), attempt.keyHash().toString()));
	}

	/**
	 * Outcome of a cycle.
	 */
	public enum CycleOutcome {

		/** No work is left. */
		IDLE,

		/** Work is left for the next cycle. */
		MORE,

		/** The log service is unavailable; the next cycle is delayed. */
		LOG_UNAVAILABLE

	}

}
