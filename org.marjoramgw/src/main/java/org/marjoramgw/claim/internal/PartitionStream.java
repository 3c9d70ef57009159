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
 * Log stream of one partition: appends records and applies the records that it reads to
 * the partition's state.
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

	PartitionStream(String name, LogService log, ClaimRecordCodec codec, ClaimState state, ResultCounters counters) {
		this.name = name;
		this.log = log;
		this.codec = codec;
		this.state = state;
		this.counters = counters;
	}

	String name() {
		return this.name;
	}

	/**
	 * Tells whether the latest read reached the end of the stream.
	 * @return whether all records at that time have been applied
	 */
	boolean isCaughtUp() {
		return this.caughtUp;
	}

	/**
	 * Appends records in one append; blocks.
	 * @param records the records
	 * @return whether the stream contains them
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
	 * Reads and applies all records up to the end of the stream; blocks.
	 * @return whether the end was reached
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
	 * Outcome of an append.
	 */
	enum AppendOutcome {

		/** The stream contains the records. */
		DONE,

		/** The stream doesn't contain the records. */
		NOT_DONE,

		/** The stream may contain the records, now or later. */
		UNKNOWN

	}

}
