package org.marjoramgw.log;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;

/**
 * Log stream of process starts; thread-safe. Calls block.
 *
 * @author The marjoramgw authors
 */
public final class StartStream {

	private static final String STREAM = "starts";

	private static final int PAGE_RECORDS = 500;

	private final LogService log;

	private final JsonRecordCodec<StartRecord> json = new JsonRecordCodec<>(StartRecord.class);

	private final Map<String, Long> newestIncarnation = new HashMap<>();

	private final Map<StartRecord, Long> firstOffset = new HashMap<>();

	private long nextOffset;

	/**
	 * Creates a client of the stream.
	 * @param log the log service
	 */
	public StartStream(LogService log) {
		this.log = log;
	}

	/**
	 * Appends a start record unless the log already contains it. A retry after a lost
	 * response thus appends no second copy, unless the first is added to the log later.
	 * @param start the record
	 * @return offset of the first copy of the record, which is the fencing number of the
	 * incarnation
	 * @throws LogUnavailableException if nothing was appended
	 * @throws LogAnswerLostException if the record may have been appended
	 */
	public synchronized long register(StartRecord start) throws LogUnavailableException, LogAnswerLostException {
		readToEnd();
		if (!this.firstOffset.containsKey(start)) {
			this.log.append(STREAM, List.of(this.json.encode(start)));
			readToEnd();
		}
		Long offset = this.firstOffset.get(start);
		if (offset == null) {
			throw new LogAnswerLostException("start record is not in the log yet", null);
		}
		return offset;
	}

	/**
	 * Returns the newest registered incarnation of a process.
	 * @param processId name of the process
	 * @return the incarnation, or empty if none is registered
	 * @throws LogUnavailableException if the log can't be read
	 */
	public synchronized OptionalLong newestIncarnation(String processId) throws LogUnavailableException {
		readToEnd();
		Long newest = this.newestIncarnation.get(processId);
		return (newest != null) ? OptionalLong.of(newest) : OptionalLong.empty();
	}

	private void readToEnd() throws LogUnavailableException {
		while (true) {
			LogSlice slice = this.log.read(STREAM, this.nextOffset, PAGE_RECORDS);
			slice.records().forEach(this::apply);
			this.nextOffset = Math.max(this.nextOffset, slice.firstOffset());
			if (this.nextOffset >= slice.nextOffset()) {
				return;
			}
			if (slice.records().isEmpty()) {
				throw new LogUnavailableException("read of " + STREAM + " ended before the end of the stream", null);
			}
		}
	}

	private void apply(LogRecord record) {
		this.nextOffset = Math.max(this.nextOffset, record.offset() + 1);
		this.json.decode(record.data()).ifPresent((start) -> {
			this.newestIncarnation.merge(start.processId(), start.incarnation(), Math::max);
			// Bounds the map: only the newest start record of each process is kept.
			this.firstOffset.keySet()
				.removeIf((known) -> known.processId().equals(start.processId())
						&& known.incarnation() < start.incarnation());
			this.firstOffset.putIfAbsent(start, record.offset());
		});
	}

}
