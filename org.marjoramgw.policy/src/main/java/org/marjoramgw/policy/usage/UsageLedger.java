package org.marjoramgw.policy.usage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts that all processes have shared, by window and source. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class UsageLedger {

	private final TreeMap<Long, Map<String, Counts>> windows = new TreeMap<>();

	/**
	 * Sets the counts of a source, which replace its earlier ones. Earlier counts that
	 * arrive late are ignored.
	 * @param window number of the window
	 * @param source process and incarnation that counted
	 * @param revision number that rises with each call of the source
	 * @param counts number of requests of each client account
	 */
	public void put(long window, String source, long revision, Map<String, Integer> counts) {
		this.windows.computeIfAbsent(window, (number) -> new HashMap<>())
			.merge(source, new Counts(revision, counts),
					(known, received) -> (received.revision < known.revision) ? known : received);
	}

	/**
	 * Removes the counts of a source.
	 * @param window number of the window
	 * @param source process and incarnation that counted
	 */
	public void remove(long window, String source) {
		Map<String, Counts> sources = this.windows.get(window);
		if (sources != null && sources.remove(source) != null && sources.isEmpty()) {
			this.windows.remove(window);
		}
	}

	/**
	 * Sums the counts of a window.
	 * @param window number of the window
	 * @return number of requests of each client account that has any
	 */
	public SortedMap<String, Integer> sum(long window) {
		TreeMap<String, Integer> sum = new TreeMap<>();
		this.windows.getOrDefault(window, Map.of())
			.values()
			.forEach((source) -> source.counts.forEach((account, count) -> sum.merge(account, count, Integer::sum)));
		sum.values().removeIf((count) -> count <= 0);
		return Collections.unmodifiableSortedMap(sum);
	}

	/**
	 * Returns the earliest window with counts.
	 * @param fromWindow number of the earliest window to regard
	 * @return number of the window, or empty if there is none
	 */
	public OptionalLong first(long fromWindow) {
		Long first = this.windows.ceilingKey(fromWindow);
		return (first != null) ? OptionalLong.of(first) : OptionalLong.empty();
	}

	/**
	 * Lists the counts up to a window.
	 * @param lastWindow number of the last window
	 * @param maxCount maximum number of counts to list
	 * @return window and source of each
	 */
	public List<Source> sourcesUpTo(long lastWindow, int maxCount) {
		List<Source> found = new ArrayList<>();
		this.windows.headMap(lastWindow, true)
			.forEach((window, sources) -> sources.keySet()
				.stream()
				.limit(maxCount - found.size())
				.forEach((source) -> found.add(new Source(window, source))));
		return found;
	}

	/**
	 * Forgets everything.
	 */
	public void clear() {
		this.windows.clear();
	}

	/**
	 * Counts of one source in one window.
	 *
	 * @param window number of the window
	 * @param name process and incarnation that counted
	 */
	public record Source(long window, String name) {
	}

	/** Counts of one source, and the number of the call that shared them. */
	private record Counts(long revision, Map<String, Integer> counts) {
	}

}
