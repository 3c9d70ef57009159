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

	private final ClaimState state;

	private final ResultCounters counters;

	private boolean caughtUp;

	PartitionStream(String name, LogService log, ClaimRecordCodec codec, ClaimState fold, ResultCounters counters) {
		this.name = name;
		this.log = log;
		this.codec = codec;
		this.state = fold;
		this.counters = counters;
	}

	String name() {
		return this.name;
	}

	/**
	 * Tells whether the fold knows all that was on the stream at the last read.
	 * @return whether the last read came to the end
	 */
	boolean isCaughtUp() {
		return this.caughtUp;
	}

	/**
	 * Appends records at once; blocks.
	 * @param records the records
	 * @return whether they are on the stream
	 */
	AppendOutcome append(List<ClaimRecord> records) {
		try {
			this.log.append(this.name, records.stream().map(this.codec::encode).toList());
			return AppendOutcome.DONE;
		}
		catch (LogUnavailableException ex) {
			this.counters.count(ResultCode.LOG_AWAY);
			return AppendOutcome.NOT_DONE;
		}
		catch (LogAnswerLostException ex) {
			this.counters.count(ResultCode.LOG_ANSWER_LOST);
			return AppendOutcome.UNKNOWN;
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
				slice = this.log.read(this.name, this.state.nextOffset(), PAGE_RECORDS);
				this.state.skipTo(slice.firstOffset());
				for (LogRecord record : slice.records()) {
					this.state.apply(record);
				}
			}
			while (this.state.nextOffset() < slice.nextOffset() && !slice.records().isEmpty());
			this.caughtUp = this.state.nextOffset() >= slice.nextOffset();
			return this.caughtUp;
		}
		catch (LogUnavailableException ex) {
			this.counters.count(ResultCode.LOG_AWAY);
			return false;
		}
	}

	/**
	 * What is known of an append.
	 */
	enum AppendOutcome {

		/** The records are on the stream. */
		DONE,

		/** The records are not on the stream. */
		NOT_DONE,

		/** The records may be on the stream. */
		UNKNOWN

	}

}
