package org.marjoramgw.config.internal;

import java.util.Optional;
import java.util.function.Consumer;

import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogRecord;
import org.marjoramgw.log.LogService;
import org.marjoramgw.log.LogSlice;

/**
 * Reader of the stream {@code config} that keeps a {@link ConfigurationState} up to date,
 * also where the records that it needs next have expired.
 * <p>
 * Only one thread reads at a time; the fold is guarded by its own monitor, which is never
 * held during a call to the log.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationLogReader {

	private static final int PAGE_RECORDS = 16;

	private final LogService log;

	private final ConfigurationRecordCodec codec;

	private final ConfigurationState state;

	private volatile long firstOffset;

	private volatile boolean caughtUp;

	private int checkpointRestarts;

	/**
	 * Creates a reader.
	 * @param log the log service
	 * @param codec codec of the records
	 * @param fold state to keep up to date
	 */
	public ConfigurationLogReader(LogService log, ConfigurationRecordCodec codec, ConfigurationState fold) {
		this.log = log;
		this.codec = codec;
		this.state = fold;
	}

	/**
	 * Reads everything that is new.
	 * @param listener sees each record after it was applied
	 * @return whether the state reflects the whole stream; false if records expired
	 * before they were read and no checkpoint replaces them
	 * @throws LogUnavailableException if the log can't be read
	 */
	public boolean catchUp(Consumer<LogRecord> listener) throws LogUnavailableException {
		while (true) {
			long from = nextOffset();
			LogSlice slice = this.log.read(ConfigurationRecordCodec.STREAM, from, PAGE_RECORDS);
			this.firstOffset = slice.firstOffset();
			if (slice.firstOffset() > from) {
				this.caughtUp = startFromCheckpoint(slice);
				if (!this.caughtUp) {
					return false;
				}
				continue;
			}
			applyAll(slice, listener);
			this.caughtUp = nextOffset() >= slice.nextOffset();
			if (this.caughtUp || nextOffset() == from) {
				return this.caughtUp;
			}
		}
	}

	/**
	 * Returns the first offset that the log retained at the latest read.
	 * @return the offset
	 */
	public long firstOffset() {
		return this.firstOffset;
	}

	/**
	 * Tells whether the latest read reached the end of the stream.
	 * @return whether the state reflects the whole stream
	 */
	public boolean isCaughtUp() {
		return this.caughtUp;
	}

	/**
	 * Returns how often records that expired unread were replaced by a checkpoint.
	 * @return the count
	 */
	public int checkpointRestarts() {
		return this.checkpointRestarts;
	}

	private void applyAll(LogSlice slice, Consumer<LogRecord> listener) {
		for (LogRecord record : slice.records()) {
			boolean applied;
			synchronized (this.state) {
				applied = this.state.apply(record);
			}
			if (applied) {
				listener.accept(record);
			}
		}
	}

	private boolean startFromCheckpoint(LogSlice firstPage) throws LogUnavailableException {
		LogSlice page = firstPage;
		while (!page.records().isEmpty()) {
			for (LogRecord record : page.records()) {
				if (startFrom(record, page.firstOffset())) {
					return true;
				}
			}
			long last = page.records().get(page.records().size() - 1).offset();
			page = this.log.read(ConfigurationRecordCodec.STREAM, last + 1, PAGE_RECORDS);
		}
		return false;
	}

	private boolean startFrom(LogRecord record, long firstRetained) {
		Optional<ConfigurationRecord> decoded = this.codec.decode(record.data());
		if (decoded.isEmpty() || !(decoded.get() instanceof ConfigurationRecord.Checkpoint checkpoint)) {
			return false;
		}
		if (checkpoint.nextOffset() < firstRetained) {
			// Records that it doesn't reflect have expired, so nobody can apply them.
			return false;
		}
		synchronized (this.state) {
			this.state.recordCheckpoint(checkpoint, record.timeMillis());
			this.checkpointRestarts++;
			return this.state.advanceTo(checkpoint.accepted(), checkpoint.nextOffset());
		}
	}

	private long nextOffset() {
		synchronized (this.state) {
			return this.state.nextOffset();
		}
	}

}
