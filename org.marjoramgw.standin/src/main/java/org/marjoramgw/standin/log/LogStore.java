package org.marjoramgw.standin.log;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.marjoramgw.MillisClock;
import org.marjoramgw.log.LogSlice;

/**
 * Streams of a log stand-in; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class LogStore {

	private final MillisClock clock;

	private final long retentionMillis;

	private final Map<String, LogStream> streams = new HashMap<>();

	private long retentionRecordCount;

	private long readCount;

	LogStore(MillisClock clock, long retentionRecordCount, long retentionMillis) {
		this.clock = clock;
		this.retentionRecordCount = retentionRecordCount;
		this.retentionMillis = retentionMillis;
	}

	synchronized long append(String stream, List<String> records) {
		LogStream target = this.streams.computeIfAbsent(stream, (name) -> new LogStream());
		long firstOffset = target.append(this.clock.nowMillis(), records);
		expire(target);
		return firstOffset;
	}

	synchronized LogSlice read(String stream, long fromOffset, int maxRecords) {
		this.readCount++;
		LogStream source = this.streams.get(stream);
		if (source == null) {
			return new LogSlice(0, 0, List.of());
		}
		expire(source);
		return source.read(fromOffset, maxRecords);
	}

	synchronized void setRetentionRecordCount(long count) {
		this.retentionRecordCount = count;
	}

	synchronized LogUsage usage() {
		Map<String, Long> appendCounts = new TreeMap<>();
		this.streams.forEach((name, stream) -> appendCounts.put(name, stream.appendCount()));
		return new LogUsage(appendCounts, this.readCount);
	}

	private void expire(LogStream stream) {
		stream.expire(this.retentionRecordCount, this.clock.nowMillis() - this.retentionMillis);
	}

}
