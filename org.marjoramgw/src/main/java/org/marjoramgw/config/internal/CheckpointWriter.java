package org.marjoramgw.config.internal;

import java.util.List;
import java.util.Random;

import org.marjoramgw.MillisClock;
import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogService;
import org.tinylog.Logger;

/**
 * Appends a checkpoint before records that the latest checkpoint doesn't include expire.
 * <p>
 * Every process checks whether a checkpoint is due. Each waits for a random delay and
 * reads the log again before it appends, so that usually one process appends the
 * checkpoint and the others find it. Duplicate checkpoints are harmless.
 *
 * @author The marjoramgw authors
 */
public final class CheckpointWriter {

	private static final long MAX_AGE_MILLIS = 300_000;

	private static final long MAX_RECORDS = 32;

	private static final long JITTER_MILLIS_PER_PROCESS = 50;

	private static final long MIN_JITTER_MILLIS = 500;

	private static final long MAX_JITTER_MILLIS = 60_000;

	private static final long NOT_SCHEDULED = Long.MAX_VALUE;

	private final LogService log;

	private final ConfigurationRecordCodec codec;

	private final ConfigurationState state;

	private final ConfigurationLogReader reader;

	private final MillisClock clock;

	private final Random random;

	private long appendAtMillis = NOT_SCHEDULED;

	/**
	 * Creates a writer.
	 * @param log the log service
	 * @param codec codec of the records
	 * @param state the state, guarded by its own monitor
	 * @param reader reader that keeps the state up to date
	 * @param clock the clock
	 * @param random source of jitter
	 */
	public CheckpointWriter(LogService log, ConfigurationRecordCodec codec, ConfigurationState state,
			ConfigurationLogReader reader, MillisClock clock, Random random) {
		this.log = log;
		this.codec = codec;
		this.state = state;
		this.reader = reader;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Appends a checkpoint if one is due and the random delay of this process has passed.
	 * Must be called right after the log was read.
	 * @param fleetSize number of processes that write checkpoints
	 */
	public void appendIfDue(int fleetSize) {
		ConfigurationRecord.Checkpoint checkpoint = dueCheckpoint();
		if (checkpoint == null) {
			this.appendAtMillis = NOT_SCHEDULED;
			return;
		}
		long nowMillis = this.clock.nowMillis();
		if (this.appendAtMillis == NOT_SCHEDULED) {
			this.appendAtMillis = nowMillis + jitterMillis(fleetSize);
		}
		if (nowMillis >= this.appendAtMillis) {
			this.appendAtMillis = NOT_SCHEDULED;
			append(checkpoint);
		}
	}

	private ConfigurationRecord.Checkpoint dueCheckpoint() {
		synchronized (this.state) {
			if (!this.reader.isCaughtUp() || this.state.accepted().isEmpty() || !isDue()) {
				return null;
			}
			return new ConfigurationRecord.Checkpoint(this.state.nextOffset(), this.state.accepted().get());
		}
	}

	private boolean isDue() {
		long checkpointOffset = this.state.checkpointOffset();
		long nextOffset = this.state.nextOffset();
		long firstOffset = this.reader.firstOffset();
		boolean tooOld = this.state.checkpointTimeMillis() < this.clock.nowMillis() - MAX_AGE_MILLIS;
		boolean tooManyRecords = nextOffset - checkpointOffset > MAX_RECORDS;
		boolean nearlyExpired = firstOffset > 0 && checkpointOffset < firstOffset + (nextOffset - firstOffset) / 2;
		return tooOld || tooManyRecords || nearlyExpired;
	}

	private void append(ConfigurationRecord.Checkpoint checkpoint) {
		try {
			this.log.append(ConfigurationRecordCodec.STREAM, List.of(this.codec.encode(checkpoint)));
			Logger.info("checkpoint of revision {} appended", checkpoint.accepted().revision());
		}
		catch (LogUnavailableException | LogAnswerLostException ex) {
			Logger.warn("checkpoint not appended, retrying after the next read: {}", ex.getMessage());
		}
	}

	private long jitterMillis(int fleetSize) {
		long spanMillis = Math.max(MIN_JITTER_MILLIS, fleetSize * JITTER_MILLIS_PER_PROCESS);
		return (long) (this.random.nextDouble() * Math.min(spanMillis, MAX_JITTER_MILLIS));
	}

}
