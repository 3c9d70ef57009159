package org.marjoramgw.config.internal;

import java.util.List;
import java.util.Random;

import org.marjoramgw.MillisClock;
import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogService;
import org.tinylog.Logger;

/**
 * Keeper that appends a checkpoint before the records that the latest one doesn't replace
 * fall out of retention.
 * <p>
 * Every process keeps watch; a random wait, after which the log is read again, lets one
 * of them append and the others see it. Copies are harmless.
 *
 * @author The marjoramgw authors
 */
public final class CheckpointWriter {

	private static final long MAX_AGE_MILLIS = 300_000;

	private static final long MAX_RECORDS = 32;

	private static final long JITTER_MILLIS_PER_PROCESS = 50;

	private static final long MIN_JITTER_MILLIS = 500;

	private static final long MAX_JITTER_MILLIS = 60_000;

	private static final long NOT_DUE = Long.MAX_VALUE;

	private final LogService log;

	private final ConfigurationRecordCodec codec;

	private final ConfigurationState state;

	private final ConfigurationLogReader reader;

	private final MillisClock clock;

	private final Random random;

	private long appendAtMillis = NOT_DUE;

	/**
	 * Creates a keeper.
	 * @param log the log service
	 * @param codec codec of the records
	 * @param fold the state, guarded by its own monitor
	 * @param reader reader that keeps the state up to date
	 * @param clock the clock
	 * @param random source of the jitter
	 */
	public CheckpointWriter(LogService log, ConfigurationRecordCodec codec, ConfigurationState fold,
			ConfigurationLogReader reader, MillisClock clock, Random random) {
		this.log = log;
		this.codec = codec;
		this.state = fold;
		this.reader = reader;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Appends a checkpoint if one is due and this process's random wait is over; called
	 * right after the log was read.
	 * @param fleetSize number of processes that keep watch
	 */
	public void appendIfDue(int fleetSize) {
		ConfigurationRecord.Checkpoint checkpoint = dueCheckpoint();
		if (checkpoint == null) {
			this.appendAtMillis = NOT_DUE;
			return;
		}
		long nowMillis = this.clock.nowMillis();
		if (this.appendAtMillis == NOT_DUE) {
			this.appendAtMillis = nowMillis + jitterMillis(fleetSize);
		}
		if (nowMillis >= this.appendAtMillis) {
			this.appendAtMillis = NOT_DUE;
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
		boolean old = this.state.checkpointTimeMillis() < this.clock.nowMillis() - MAX_AGE_MILLIS;
		boolean farBack = nextOffset - checkpointOffset > MAX_RECORDS;
		boolean nearlyExpired = firstOffset > 0 && checkpointOffset < firstOffset + (nextOffset - firstOffset) / 2;
		return old || farBack || nearlyExpired;
	}

	private void append(ConfigurationRecord.Checkpoint checkpoint) {
		try {
			this.log.append(ConfigurationRecordCodec.STREAM, List.of(this.codec.encode(checkpoint)));
			Logger.info("checkpoint of revision {} appended", checkpoint.accepted().revision());
		}
		catch (LogUnavailableException | LogAnswerLostException ex) {
			Logger.warn("checkpoint not appended, tried again after the next read: {}", ex.getMessage());
		}
	}

	private long jitterMillis(int fleetSize) {
		long spanMillis = Math.max(MIN_JITTER_MILLIS, fleetSize * JITTER_MILLIS_PER_PROCESS);
		return (long) (this.random.nextDouble() * Math.min(spanMillis, MAX_JITTER_MILLIS));
	}

}
