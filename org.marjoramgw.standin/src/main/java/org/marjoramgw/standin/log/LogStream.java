package org.marjoramgw.standin.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.marjoramgw.log.LogRecord;
import org.marjoramgw.log.LogSlice;

/**
 * Records of one stream; the oldest expire by count and by age.
 *
 * @author The marjoramgw authors
 */
final class LogStream {

	private final Deque<LogRecord> records = new ArrayDeque<>();

	private long nextOffset;

	private long appendCount;

	long append(long nowMillis, List<String> texts) {
		long firstOffset = this.nextOffset;
		for (String text : texts) {
			this.records.addLast(new LogRecord(this.nextOffset, nowMillis, text));
			this.nextOffset++;
		}
		this.appendCount++;
		return firstOffset;
	}

	long appendCount() {
		return this.appendCount;
	}

	void expire(long retentionRecordCount, long oldestMillis) {
		while (!this.records.isEmpty() && (this.records.size() > retentionRecordCount
				|| this.records.getFirst().timeMillis() < oldestMillis)) {
			this.records.removeFirst();
		}
	}

	LogSlice read(long fromOffset, int maxRecords) {
		List<LogRecord> found = this.records.stream()
			.filter((logRecord) -> logRecord.offset() >= fromOffset)
			.limit(maxRecords)
			.toList();
		return new LogSlice(firstOffset(), this.nextOffset, found);
	}

	private long firstOffset() {
		return this.records.isEmpty() ? this.nextOffset : this.records.getFirst().offset();
	}

}
