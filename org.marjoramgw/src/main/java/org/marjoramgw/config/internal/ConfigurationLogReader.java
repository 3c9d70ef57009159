package org.marjoramgw.config.internal;

import java.util.Optional;
import java.util.function.Consumer;

import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogRecord;
import org.marjoramgw.log.LogService;
import org.marjoramgw.log.LogSlice;

/**
 * Reads the stream {@code config} and keeps a {@link ConfigurationState} up to date. If
 * the next records have expired, it continues from a checkpoint.
 * <p>
 * Only one thread may read at a time. The state is guarded by its own monitor, which is
 * never held during a call to the log.
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
	 * @param state state to keep up to date
	 */
	public ConfigurationLogReader(LogService log, ConfigurationRecordCodec codec, ConfigurationState state) {
		this.log = log;
		this.codec = codec;
		this.state = state;
	}

	/**
	 * Reads and applies all new records.
	 * @param listener called with each record after it was applied
	 * @return whether the state includes the whole stream; {@code false} if records
	 * expired before they were read and no checkpoint replaces them
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
	 * Returns the first offset that the log retained as of the latest read.
	 * @return the offset
	 */
	public long firstOffset() {
		return this.firstOffset;
	}

	/**
	 * Tells whether the latest read reached the end of the stream.
	 * @return whether the state includes the whole stream as of that read
	 */
	public boolean isCaughtUp() {
		return this.caughtUp;
	}

	/**
	 * Returns how often the state continued from a checkpoint because records expired
	 * before they were read.
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
			// Records after the checkpoint have expired, so it can't be brought up to
			// date.
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
