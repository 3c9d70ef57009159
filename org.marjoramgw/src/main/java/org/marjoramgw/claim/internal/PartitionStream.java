package org.marjoramgw.claim.internal;

import java.util.List;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogRecord;
import org.marjoramgw.log.LogService;
import org.marjoramgw.log.LogSlice;
import org.marjoramgw.metrics.ResultCounters;

/**
 * Stream of one partition on the log: appends records and folds what it reads.
 *
 * @author The marjoramgw authors
 */
final class PartitionStream {

	private static final int PAGE_RECORDS = 128;

	private final String name;

	private final LogService log;

	private final ClaimRecordCodec codec;

	private final ClaimFold fold;

	private final ResultCounters counters;

	private boolean readBack;

	PartitionStream(String name, LogService log, ClaimRecordCodec codec, ClaimFold fold, ResultCounters counters) {
		this.name = name;
		this.log = log;
		this.codec = codec;
		this.fold = fold;
		this.counters = counters;
	}

	String name() {
		return this.name;
	}

	/**
	 * Tells whether the fold knows all that was on the stream at the last read.
	 * @return whether the last read came to the end
	 */
	boolean isReadBack() {
		return this.readBack;
	}

	/**
	 * Appends records at once; blocks.
	 * @param records the records
	 * @return whether they are on the stream
	 */
	Appended append(List<ClaimRecord> records) {
		try {
			this.log.append(this.name, records.stream().map(this.codec::encode).toList());
			return Appended.DONE;
		}
		catch (LogUnavailableException ex) {
			this.counters.count(ResultCode.LOG_AWAY);
			return Appended.NOT_DONE;
		}
		catch (LogAnswerLostException ex) {
			this.counters.count(ResultCode.LOG_ANSWER_LOST);
			return Appended.UNKNOWN;
		}
	}

	/**
	 * Folds all records up to the end of the stream; blocks.
	 * @return whether it came to the end
	 */
	boolean readToEnd() {
		try {
			LogSlice slice;
			do {
				slice = this.log.read(this.name, this.fold.nextOffset(), PAGE_RECORDS);
				this.fold.skipTo(slice.firstOffset());
				for (LogRecord record : slice.records()) {
					this.fold.apply(record);
				}
			}
			while (this.fold.nextOffset() < slice.nextOffset() && !slice.records().isEmpty());
			this.readBack = this.fold.nextOffset() >= slice.nextOffset();
			return this.readBack;
		}
		catch (LogUnavailableException ex) {
			this.counters.count(ResultCode.LOG_AWAY);
			return false;
		}
	}

	/**
	 * What is known of an append.
	 */
	enum Appended {

		/** The records are on the stream. */
		DONE,

		/** The records are not on the stream. */
		NOT_DONE,

		/** The records may be on the stream. */
		UNKNOWN

	}

}
