package org.marjoramgw.policy.usage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * Reports whose content is recorded, and which of them were accepted. Not thread-safe.
 * <p>
 * The first content that is recorded for a window is final, and it is the only one that
 * is ever sent. Windows are recorded in order, without gaps.
 *
 * @author The marjoramgw authors
 */
public final class ReportBook {

	/**
	 * Windows that are reported after an outage. Older ones are given up, so that an
	 * entry that is started after a long pause reaches the present.
	 */
	private static final long MAX_BACKLOG = 720;

	/** Windows that are recorded by one append. */
	private static final int MAX_RECORDED = 16;

	private final UsageWindows windows;

	private final TreeMap<Long, SortedMap<String, Integer>> contents = new TreeMap<>();

	private final Set<Long> accepted = new HashSet<>();

	private OptionalLong done = OptionalLong.empty();

	private OptionalLong recordedDone = OptionalLong.empty();

	/**
	 * Creates a book without reports.
	 * @param windows the windows
	 */
	public ReportBook(UsageWindows windows) {
		this.windows = windows;
	}

	/**
	 * Notes a recorded content. A second one of the same window is ignored.
	 * @param window number of the window
	 * @param counts number of requests of each client account
	 */
	public void onRecorded(long window, SortedMap<String, Integer> counts) {
		if (this.done.isEmpty() || window > this.done.getAsLong()) {
			this.contents.putIfAbsent(window, counts);
		}
	}

	/**
	 * Notes the recorded fact that all windows up to one are finished.
	 * @param window number of the last finished window
	 */
	public void onDone(long window) {
		this.recordedDone = OptionalLong.of(Math.max(window, this.recordedDone.orElse(window)));
		finish(window);
	}

	/**
	 * Notes that a report was accepted, or that it never will be.
	 * @param window number of the window
	 */
	public void onAccepted(long window) {
		if (this.contents.containsKey(window)) {
			this.accepted.add(window);
		}
		while (!this.contents.isEmpty() && this.accepted.contains(this.contents.firstKey())) {
			finish(this.contents.firstKey());
		}
	}

	/**
	 * Tells whether the first window to report can be determined. If none was reported
	 * before, all processes must have had the time to share their first counts.
	 * @param startWindow window in which this process has started
	 * @param nowMillis true time, in milliseconds since the Unix epoch
	 * @return whether it is known or may be determined
	 */
	public boolean mayBegin(long startWindow, long nowMillis) {
		return this.done.isPresent() || !this.contents.isEmpty() || this.windows.lastComplete(nowMillis) >= startWindow;
	}

	/**
	 * Determines the first window to report, unless it is known.
	 * @param firstCounted returns the first window with shared counts from a window on
	 * @param startWindow window in which this process has started
	 * @param nowMillis true time, in milliseconds since the Unix epoch
	 */
	public void begin(LongFunction<OptionalLong> firstCounted, long startWindow, long nowMillis) {
		long earliest = this.windows.at(nowMillis) - MAX_BACKLOG;
		if (this.done.isEmpty()) {
			long first = Math.min(startWindow, firstCounted.apply(earliest).orElse(startWindow));
			finish((this.contents.isEmpty() ? Math.max(earliest, first) : this.contents.firstKey()) - 1);
		}
		else if (this.done.getAsLong() < earliest && this.contents.isEmpty()) {
			finish(earliest);
		}
	}

	/**
	 * Returns the windows whose content is to be recorded.
	 * @param nowMillis true time, in milliseconds since the Unix epoch
	 * @return numbers of the windows, the earliest first
	 */
	public List<Long> toRecord(long nowMillis) {
		List<Long> due = new ArrayList<>();
		if (this.done.isPresent()) {
			long last = this.windows.lastComplete(nowMillis);
			long first = this.contents.isEmpty() ? this.done.getAsLong() + 1 : this.contents.lastKey() + 1;
			for (long window = first; window <= last && due.size() < MAX_RECORDED; window++) {
				due.add(window);
			}
		}
		return due;
	}

	/**
	 * Returns the reports that are not accepted yet.
	 * @return the reports, the oldest first
	 */
	public List<WindowCounts> toSend() {
		List<WindowCounts> open = new ArrayList<>();
		this.contents.forEach((window, counts) -> {
			if (!this.accepted.contains(window)) {
				open.add(new WindowCounts(window, counts));
			}
		});
		return open;
	}

	/**
	 * Returns the last finished window if it is not recorded yet.
	 * @return number of the window, or empty if nothing has to be recorded
	 */
	public OptionalLong doneToRecord() {
		return (this.done.isPresent() && !this.done.equals(this.recordedDone)) ? this.done : OptionalLong.empty();
	}

	/**
	 * Returns the last window of which it is recorded that all up to it are finished.
	 * @return number of the window, or empty if there is none
	 */
	public OptionalLong recordedDone() {
		return this.recordedDone;
	}

	/**
	 * Returns the number of reports that are recorded and not finished.
	 * @return the number
	 */
	public int openCount() {
		return this.contents.size();
	}

	/**
	 * Returns the content of a report.
	 * @param window number of the window
	 * @return its content, or empty if it is not recorded or finished
	 */
	public Optional<SortedMap<String, Integer>> content(long window) {
		return Optional.ofNullable(this.contents.get(window));
	}

	private void finish(long window) {
		if (this.done.isEmpty() || window > this.done.getAsLong()) {
			this.done = OptionalLong.of(window);
		}
		this.contents.headMap(window, true).clear();
		this.accepted.removeIf((number) -> number <= window);
	}

}
