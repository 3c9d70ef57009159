package org.marjoramgw.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.MillisClock;
import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;

/**
 * In-memory log service that can inject faults.
 *
 * @author The marjoramgw authors
 */
public final class MemoryLog implements LogService {

	private final MillisClock clock;

	private final Map<String, List<LogRecord>> streams = new HashMap<>();

	private final Map<String, Long> firstOffsets = new HashMap<>();

	private final List<Runnable> late = new ArrayList<>();

	private boolean unavailable;

	private AppendFault fault = AppendFault.NONE;

	private int appendCount;

	public MemoryLog(MillisClock clock) {
		this.clock = clock;
	}

	@Override
	public synchronized long append(String stream, List<String> records)
			throws LogUnavailableException, LogAnswerLostException {
		failIfUnavailable();
		AppendFault currentFault = this.fault;
		this.fault = AppendFault.NONE;
		return switch (currentFault) {
			case NONE -> add(stream, records);
			case REFUSED -> throw new LogUnavailableException("429", null);
			case LOST_BEFORE -> throw new LogAnswerLostException("lost before", null);
			case LOST_AFTER -> {
				add(stream, records);
				throw new LogAnswerLostException("lost after", null);
			}
			case LATE -> {
				this.late.add(() -> add(stream, records));
				throw new LogAnswerLostException("late", null);
			}
		};
	}

	@Override
	public synchronized LogSlice read(String stream, long fromOffset, int maxRecords) throws LogUnavailableException {
		failIfUnavailable();
		List<LogRecord> all = this.streams.getOrDefault(stream, List.of());
		long first = this.firstOffsets.getOrDefault(stream, 0L);
		int start = (int) Math.min(all.size(), Math.max(first, fromOffset));
		int end = Math.min(all.size(), start + maxRecords);
		return new LogSlice(first, all.size(), List.copyOf(all.subList(start, end)));
	}

	public synchronized void setUnavailable(boolean value) {
		this.unavailable = value;
	}

	public synchronized void failNextAppend(AppendFault value) {
		this.fault = value;
	}

	public synchronized void retain(String stream, int records) {
		long size = this.streams.getOrDefault(stream, List.of()).size();
		this.firstOffsets.merge(stream, Math.max(0, size - records), Math::max);
	}

	/**
	 * Applies the delayed appends of {@link AppendFault#LATE}.
	 */
	public synchronized void deliverLate() {
		this.late.forEach(Runnable::run);
		this.late.clear();
	}

	public synchronized int lateCount() {
		return this.late.size();
	}

	public synchronized List<LogRecord> all(String stream) {
		return List.copyOf(this.streams.getOrDefault(stream, List.of()));
	}

	public synchronized int appendCount() {
		return this.appendCount;
	}

	private void failIfUnavailable() throws LogUnavailableException {
		if (this.unavailable) {
			throw new LogUnavailableException("503", null);
		}
	}

	private long add(String stream, List<String> records) {
		this.appendCount++;
		List<LogRecord> all = this.streams.computeIfAbsent(stream, (name) -> new ArrayList<>());
		long first = all.size();
		for (String data : records) {
			all.add(new LogRecord(all.size(), this.clock.nowMillis(), data));
		}
		return first;
	}

	/**
	 * Fault to inject into the next append.
	 */
	public enum AppendFault {

		/** No fault. */
		NONE,

		/** Nothing is appended; the caller gets a refusal. */
		REFUSED,

		/** Nothing is appended; the response is lost. */
		LOST_BEFORE,

		/** The append takes effect; the response is lost. */
		LOST_AFTER,

		/** The response is lost; the append takes effect later. */
		LATE

	}

}
