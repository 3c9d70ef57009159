package org.marjoramgw.policy.stream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Software versions of each service that streams of any process may have begun at. Not
 * thread-safe.
 * <p>
 * A process begins streams only at versions that are marked in the store, so that whoever
 * reads the marks later knows all of them, even if the process and the servers are gone.
 *
 * @author The marjoramgw authors
 */
public final class VersionBook {

	/**
	 * Longest time after its beginning in which a stream is taken up, in milliseconds.
	 */
	public static final long TAKE_UP_MILLIS = 30_000;

	/** Difference between the clocks of two VMs, and delay of a mark, in milliseconds. */
	static final long SLACK_MILLIS = 10_000;

	/** Interval of the marks while nothing changes, in milliseconds. */
	static final long INTERVAL_MILLIS = 20_000;

	private static final long KEEP_MILLIS = TAKE_UP_MILLIS + SLACK_MILLIS;

	/**
	 * Time for which the versions at which streams may begin are kept, in milliseconds.
	 */
	private static final long CACHE_MILLIS = 1_000;

	/** Last time at which each version of each service was registered. */
	private final Map<String, Map<String, Long>> seenMillis = new HashMap<>();

	private final Map<String, VersionMark> marks = new HashMap<>();

	private final String processId;

	private Map<String, Set<String>> registered = Map.of();

	private VersionMark acknowledged = VersionMark.NONE;

	private boolean markLost;

	/** Versions of each service at which streams may begin. */
	private final Map<String, Set<String>> beginnable = new HashMap<>();

	private long beginnableMillis;

	/**
	 * Creates a book without versions.
	 * @param processId id of this process
	 */
	public VersionBook(String processId) {
		this.processId = processId;
	}

	/**
	 * Records the versions that are registered at present.
	 * @param versions the versions by service
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 */
	public void onRegistered(Map<String, Set<String>> versions, long nowMillis) {
		this.beginnable.clear();
		this.registered.forEach((service, before) -> before.forEach((version) -> see(service, version, nowMillis)));
		this.registered = Map.copyOf(versions);
		this.registered.forEach((service, now) -> now.forEach((version) -> see(service, version, nowMillis)));
	}

	/**
	 * Records a mark that was read from the store.
	 * @param process the process that wrote it
	 * @param mark the mark
	 */
	public void onMark(String process, VersionMark mark) {
		this.beginnable.clear();
		this.marks.put(process, mark);
	}

	/**
	 * Records that the store has acknowledged a mark of this process.
	 * @param mark the mark
	 */
	public void onAcknowledged(VersionMark mark) {
		this.beginnable.clear();
		this.acknowledged = mark;
		this.markLost = false;
	}

	/**
	 * Records that the store may have lost the mark of this process.
	 */
	public void onMarkLost() {
		this.markLost = true;
	}

	/**
	 * Tells whether a mark of this process is to be written.
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 * @return whether a registered version isn't marked, or has been for the interval, or
	 * the mark was lost
	 */
	public boolean isMarkDue(long nowMillis) {
		return this.markLost || this.registered.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getValue()
				.stream()
				.anyMatch((
						version) -> this.acknowledged.untilMillis(entry.getKey(), version) <= nowMillis + KEEP_MILLIS));
	}

	/**
	 * Returns the mark of this process, which takes the place of that of an earlier
	 * process of the same name.
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 * @return the mark
	 */
	public VersionMark mark(long nowMillis) {
		Map<String, Map<String, Long>> untilMillis = new HashMap<>();
		this.seenMillis.forEach((service, versions) -> versions.forEach((version, seen) -> {
			long until = isRegistered(service, version) ? nowMillis + INTERVAL_MILLIS + KEEP_MILLIS
					: seen + KEEP_MILLIS;
			merge(untilMillis, service, version, until);
		}));
		this.marks.getOrDefault(this.processId, VersionMark.NONE)
			.untilMillis()
			.forEach((service, versions) -> versions
				.forEach((version, until) -> merge(untilMillis, service, version, until)));
		untilMillis.values().forEach((versions) -> versions.values().removeIf((until) -> until <= nowMillis));
		return new VersionMark(untilMillis);
	}

	/**
	 * Returns the versions at which a stream that may be taken up now may have begun.
	 * @param service name of the service
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 * @return the versions, as far as the store was read
	 */
	public Set<String> possible(String service, long nowMillis) {
		Set<String> possible = new HashSet<>(this.registered.getOrDefault(service, Set.of()));
		this.seenMillis.getOrDefault(service, Map.of()).forEach((version, seen) -> {
			if (seen + KEEP_MILLIS > nowMillis) {
				possible.add(version);
			}
		});
		possible.addAll(marked(service, nowMillis));
		return possible;
	}

	/**
	 * Tells whether a stream may begin at a version.
	 * @param service name of the service
	 * @param version the version
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 * @return whether the version is marked, or nothing is known of any other version
	 */
	public boolean mayBegin(String service, String version, long nowMillis) {
		if (Math.abs(nowMillis - this.beginnableMillis) >= CACHE_MILLIS) {
			this.beginnable.clear();
			this.beginnableMillis = nowMillis;
		}
		return this.beginnable.computeIfAbsent(service, (name) -> beginnable(name, nowMillis)).contains(version);
	}

	private Set<String> beginnable(String service, long nowMillis) {
		if (!marked(service, nowMillis).isEmpty()) {
			// A mark has to hold until the stream can't be taken up any more.
			return marked(service, nowMillis + CACHE_MILLIS + TAKE_UP_MILLIS);
		}
		Set<String> possible = possible(service, nowMillis);
		return (possible.size() == 1) ? possible : Set.of();
	}

	private static void merge(Map<String, Map<String, Long>> untilMillis, String service, String version, long until) {
		untilMillis.computeIfAbsent(service, (name) -> new HashMap<>()).merge(version, until, Math::max);
	}

	private Set<String> marked(String service, long nowMillis) {
		Set<String> marked = new HashSet<>(this.acknowledged.versions(service, nowMillis));
		this.marks.values().forEach((mark) -> marked.addAll(mark.versions(service, nowMillis)));
		return marked;
	}

	private boolean isRegistered(String service, String version) {
		return this.registered.getOrDefault(service, Set.of()).contains(version);
	}

	private void see(String service, String version, long nowMillis) {
		this.seenMillis.computeIfAbsent(service, (name) -> new HashMap<>()).put(version, nowMillis);
	}

}
