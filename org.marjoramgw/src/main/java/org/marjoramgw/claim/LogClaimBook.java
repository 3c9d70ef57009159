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
import org.marjoramgw.claim.internal.ClaimJudge;
import org.marjoramgw.claim.internal.ClaimRecord;
import org.marjoramgw.claim.internal.ClaimRecordCodec;
import org.marjoramgw.claim.internal.KeyHash;
import org.marjoramgw.claim.internal.KeyTime;
import org.marjoramgw.claim.internal.PartitionClaims;
import org.marjoramgw.claim.internal.PartitionRunner;
import org.marjoramgw.log.LogService;
import org.marjoramgw.log.StartStream;
import org.marjoramgw.metrics.ResultCounters;
import org.tinylog.Logger;

/**
 * Claim book on partitioned streams of the log.
 *
 * @author The marjoramgw authors
 */
public final class LogClaimBook implements ClaimBook {

	private static final int THREADS = 4;

	private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

	private final ClaimSettings settings;

	private final ClaimHolder self;

	private final MillisClock clock;

	private final ScheduledExecutorService threads;

	private final List<PartitionRunner> partitions;

	private final Map<ClaimKey, String> won = new ConcurrentHashMap<>();

	private final AtomicLong claimCount = new AtomicLong();

	/**
	 * Creates a book; it reads a partition when the first key of it is claimed.
	 * @param log the log service
	 * @param settings bounds
	 * @param self this process
	 * @param clock the clock
	 * @param counters counters of results
	 */
	public LogClaimBook(LogService log, ClaimSettings settings, ClaimHolder self, MillisClock clock,
			ResultCounters counters) {
		this.settings = settings;
		this.self = self;
		this.clock = clock;
		this.threads = Executors.newScheduledThreadPool(THREADS, new DaemonThreadFactory("claims"));
		ClaimJudge judge = new ClaimJudge(log, new StartStream(log), self, clock, new ClaimRecordCodec());
		this.partitions = IntStream.range(0, settings.partitionCount())
			.mapToObj((partition) -> new PartitionClaims(ClaimPartitions.streamOf(partition), log, settings, self,
					judge, clock, counters, this::noteWon))
			.map((claims) -> new PartitionRunner(claims, this.threads, settings.appendIntervalMillis(), clock))
			.toList();
	}

	@Override
	public CompletionStage<ClaimVerdict> claim(ClaimKey key) {
		if (isOutsideWindow(key)) {
			return CompletableFuture.completedFuture(new ClaimVerdict.Refused(ResultCode.KEY_EXPIRED));
		}
		String claimId = this.self.processId() + ":" + this.self.incarnation() + ":"
				+ this.claimCount.incrementAndGet();
		ClaimAttempt attempt = new ClaimAttempt(key, claimId);
		attempt.verdict()
			.completeOnTimeout(new ClaimVerdict.Refused(ResultCode.CLAIM_UNAVAILABLE), this.settings.waitMillis(),
					TimeUnit.MILLISECONDS);
		runnerOf(key).submit(attempt);
		return attempt.verdict();
	}

	@Override
	public void recordResult(ClaimKey key, RecordedResult result) {
		String claimId = this.won.remove(key);
		if (claimId == null) {
			Logger.error("result without a won claim, request {}", key.requestId());
			return;
		}
		boolean kept = isKept(result.body());
		String hash = KeyHash.of(key.account(), key.key()).toString();
		runnerOf(key).submit(new ClaimRecord.Result(claimId, hash, result.httpStatus(), result.contentType(), kept,
				kept ? result.body() : ""));
	}

	@Override
	public void release(ClaimKey key) {
		String claimId = this.won.remove(key);
		if (claimId != null) {
			String hash = KeyHash.of(key.account(), key.key()).toString();
			runnerOf(key).submit(new ClaimRecord.Release(claimId, hash));
		}
	}

	/**
	 * Appends the results and releases that still wait, within two seconds, and stops.
	 */
	@Override
	public void close() {
		long deadlineMillis = this.clock.nowMillis() + CLOSE_TIMEOUT_MILLIS;
		try {
			while (hasUnsent() && this.clock.nowMillis() < deadlineMillis) {
				Thread.sleep(this.settings.appendIntervalMillis());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.threads.shutdownNow();
	}

	private boolean isKept(String body) {
		return body != null && body.getBytes(StandardCharsets.UTF_8).length <= this.settings.maxResultBytes();
	}

	private boolean hasUnsent() {
		return this.partitions.stream().anyMatch(PartitionRunner::hasUnsent);
	}

	private boolean isOutsideWindow(ClaimKey key) {
		OptionalLong keyTime = KeyTime.of(key.key());
		if (keyTime.isEmpty()) {
			return false;
		}
		long ageMillis = this.clock.nowMillis() - keyTime.getAsLong();
		return ageMillis > this.settings.windowMillis() || ageMillis < -PartitionClaims.CLOCK_SKEW_MILLIS;
	}

	private PartitionRunner runnerOf(ClaimKey key) {
		int partition = ClaimPartitions.partitionOf(key.account(), key.key(), this.settings.partitionCount());
		return this.partitions.get(partition);
	}

	private void noteWon(ClaimKey key, String claimId) {
		if (claimId != null) {
			this.won.put(key, claimId);
		}
		else {
			this.won.remove(key);
		}
	}

}
