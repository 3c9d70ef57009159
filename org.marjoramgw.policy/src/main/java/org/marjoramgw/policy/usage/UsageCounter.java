package org.marjoramgw.policy.usage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Counts the requests of each client account that begin to run in each window;
 * thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class UsageCounter implements UsageObserver {

	/** Windows that are kept; their report has long been sent when they are dropped. */
	private static final int MAX_WINDOWS = 240;

	/** Windows that are shared by one call, the latest first. */
	private static final int MAX_SHARED = 32;

	/**
	 * Time for which counts are shared again after a call without an answer, which may be
	 * executed after later ones and then replaces their counts.
	 */
	private static final long UNCLEAR_MILLIS = 10_000;

	private final UsageWindows windows;

	private final LongSupplier timeMillis;

	private final TreeMap<Long, Window> counted = new TreeMap<>();

	private long revision;

	/**
	 * Creates a counter.
	 * @param windows the windows
	 * @param timeMillis true time, in milliseconds since the Unix epoch
	 */
	public UsageCounter(UsageWindows windows, LongSupplier timeMillis) {
		this.windows = windows;
		this.timeMillis = timeMillis;
	}

	@Override
	public Run onRun(String account) {
		long window = this.windows.at(this.timeMillis.getAsLong());
		add(window, account, 1);
		return () -> add(window, account, -1);
	}

	/**
	 * Creates the present window even if nothing is counted in it, so that this process
	 * makes itself known.
	 */
	public synchronized void open() {
		this.counted.computeIfAbsent(this.windows.at(this.timeMillis.getAsLong()), (number) -> new Window());
	}

	/**
	 * Returns the windows whose counts have changed since they were shared, or may have
	 * been replaced by earlier ones.
	 * @return their counts
	 */
	public synchronized List<WindowCounts> changed() {
		long nowMillis = this.timeMillis.getAsLong();
		List<WindowCounts> changed = new ArrayList<>();
		this.counted.descendingMap().forEach((number, window) -> {
			if (changed.size() < MAX_SHARED
					&& (!window.counts.equals(window.shared) || nowMillis < window.unclearUntilMillis)) {
				changed.add(new WindowCounts(number, Collections.unmodifiableSortedMap(new TreeMap<>(window.counts))));
			}
		});
		return changed;
	}

	/**
	 * Notes that counts were shared.
	 * @param shared the counts
	 */
	public synchronized void onShared(List<WindowCounts> shared) {
		for (WindowCounts counts : shared) {
			Window window = this.counted.get(counts.window());
			if (window != null) {
				window.shared = counts.counts();
			}
		}
	}

	/**
	 * Notes that counts were sent without an answer.
	 * @param sent the counts
	 */
	public synchronized void onUnclear(List<WindowCounts> sent) {
		long untilMillis = this.timeMillis.getAsLong() + UNCLEAR_MILLIS;
		for (WindowCounts counts : sent) {
			Window window = this.counted.get(counts.window());
			if (window != null) {
				window.unclearUntilMillis = untilMillis;
			}
		}
	}

	/**
	 * Returns a number that rises with each call, by which later counts of a window are
	 * told from earlier ones.
	 * @return the number
	 */
	public synchronized long nextRevision() {
		this.revision++;
		return this.revision;
	}

	private synchronized void add(long number, String account, int count) {
		if (count < 0 && !this.counted.containsKey(number)) {
			return;
		}
		this.counted.computeIfAbsent(number, (created) -> new Window()).counts.merge(account, count, Integer::sum);
		if (this.counted.size() > MAX_WINDOWS) {
			this.counted.pollFirstEntry();
		}
	}

	/** Counts of one window. */
	private static final class Window {

		private final TreeMap<String, Integer> counts = new TreeMap<>();

		private SortedMap<String, Integer> shared;

		private long unclearUntilMillis = Long.MIN_VALUE;

	}

}
