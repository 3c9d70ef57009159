package org.marjoramgw.claim;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.internal.ClaimAttempt;
import org.marjoramgw.claim.internal.ClaimConflictResolver;
import org.marjoramgw.claim.internal.ClaimRecord;
import org.marjoramgw.claim.internal.ClaimRecordCodec;
import org.marjoramgw.claim.internal.KeyTimestamp;
import org.marjoramgw.claim.internal.PartitionClaims;
import org.marjoramgw.claim.internal.PartitionRunner;
import org.marjoramgw.claim.internal.TruncatedSha256;
import org.marjoramgw.log.LogService;
import org.marjoramgw.log.StartStream;
import org.marjoramgw.metrics.ResultCounters;
import org.tinylog.Logger;

/**
 * Claim store backed by partitioned streams of the log service.
 *
 * @author The marjoramgw authors
 */
public final class LogClaimStore implements ClaimStore {

	private static final int THREADS = 4;

	private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

	private final ClaimSettings settings;

	private final ProcessIncarnation self;

	private final MillisClock clock;

	private final ScheduledExecutorService executor;

	private final List<PartitionRunner> runners;

	private final Map<ClaimKey, String> won = new ConcurrentHashMap<>();

	private final AtomicLong claimCount = new AtomicLong();

	/**
	 * Creates a store. A partition is read when the first of its keys is claimed.
	 * @param log the log service
	 * @param settings the settings
	 * @param self this process
	 * @param clock the clock
	 * @param counters counters of result codes
	 */
	public LogClaimStore(LogService log, ClaimSettings settings, ProcessIncarnation self, MillisClock clock,
			ResultCounters counters) {
		this.settings = settings;
		this.self = self;
		this.clock = clock;
		this.executor = Executors.newScheduledThreadPool(THREADS, new DaemonThreadFactory("claims"));
		ClaimConflictResolver conflictResolver = new ClaimConflictResolver(log, new StartStream(log), self, clock,
				new ClaimRecordCodec());
		this.runners = IntStream.range(0, settings.partitionCount())
			.mapToObj((partition) -> new PartitionClaims(ClaimPartitions.streamOf(partition), log, settings, self,
					conflictResolver, clock, counters, this::updateWonClaim))
			.map((claims) -> new PartitionRunner(claims, this.executor, settings.appendIntervalMillis(), clock))
			.toList();
	}

	@Override
	public CompletionStage<ClaimDecision> claim(ClaimKey key) {
		if (isOutsideWindow(key)) {
			return CompletableFuture.completedFuture(new ClaimDecision.Refused(ResultCode.KEY_EXPIRED));
		}
		String claimId = this.self.processId() + ":" + this.self.incarnation() + ":"
				+ this.claimCount.incrementAndGet();
		ClaimAttempt attempt = new ClaimAttempt(key, claimId);
		attempt.decision()
			.completeOnTimeout(new ClaimDecision.Refused(ResultCode.CLAIM_UNAVAILABLE), this.settings.waitMillis(),
					TimeUnit.MILLISECONDS);
		runnerOf(key).submit(attempt);
		return attempt.decision();
	}

	@Override
	public void recordResult(ClaimKey key, RecordedResult result) {
		String claimId = this.won.remove(key);
		if (claimId == null) {
			Logger.error("request {} holds no claim; its result is not recorded", key.requestId());
			return;
		}
		boolean kept = isRecordable(result.body());
		String hash = TruncatedSha256.of(key.account(), key.key()).toString();
		runnerOf(key).submit(new ClaimRecord.Result(claimId, hash, result.httpStatus(), result.contentType(), kept,
				kept ? result.body() : ""));
	}

	@Override
	public void release(ClaimKey key) {
		String claimId = this.won.remove(key);
		if (claimId != null) {
			String hash = TruncatedSha256.of(key.account(), key.key()).toString();
			runnerOf(key).submit(new ClaimRecord.Release(claimId, hash));
		}
	}

	/**
	 * Waits up to two seconds for pending results and releases to be appended, then stops
	 * the threads.
	 */
	@Override
	public void close() {
		long deadlineMillis = this.clock.nowMillis() + CLOSE_TIMEOUT_MILLIS;
		try {
			while (hasPendingRecords() && this.clock.nowMillis() < deadlineMillis) {
				Thread.sleep(this.settings.appendIntervalMillis());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.executor.shutdownNow();
	}

	private boolean isRecordable(String body) {
		return body != null && body.getBytes(StandardCharsets.UTF_8).length <= this.settings.maxResultBytes();
	}

	private boolean hasPendingRecords() {
		return this.runners.stream().anyMatch(PartitionRunner::hasPendingRecords);
	}

	private boolean isOutsideWindow(ClaimKey key) {
		OptionalLong keyTime = KeyTimestamp.of(key.key());
		if (keyTime.isEmpty()) {
			return false;
		}
		long ageMillis = this.clock.nowMillis() - keyTime.getAsLong();
		return ageMillis > this.settings.windowMillis() || ageMillis < -PartitionClaims.CLOCK_SKEW_MILLIS;
	}

	private PartitionRunner runnerOf(ClaimKey key) {
		int partition = ClaimPartitions.partitionOf(key.account(), key.key(), this.settings.partitionCount());
		return this.runners.get(partition);
	}

	private void updateWonClaim(ClaimKey key, String claimId) {
		if (claimId != null) {
			this.won.put(key, claimId);
		}
		else {
			this.won.remove(key);
		}
	}

}
