package org.marjoramgw.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Shared parts of prompts that backend servers probably have in their caches. Not
 * thread-safe.
 *
 * @author The marjoramgw authors
 */
final class CachedParts {

	/** Time after the last send for which a part counts as cached, in milliseconds. */
	private static final long CACHED_MILLIS = 20_000;

	/**
	 * Time after which a further send of the same part is reported again, well before the
	 * peers drop the part.
	 */
	private static final long REPORT_INTERVAL_MILLIS = 5_000;

	/** Number of digests that repeat a report, since datagrams can be lost. */
	private static final int REPETITIONS = 3;

	private static final long PRUNE_INTERVAL_MILLIS = 1_000;

	/** Bound on the parts, some 4 MB. */
	private static final int MAX_PARTS = 32_768;

	private final Map<Long, Entry> entryByKey = new HashMap<>();

	private final List<Entry> reported = new ArrayList<>();

	private long prunedMillis;

	/**
	 * Records a part that this process sent.
	 * @param part the part
	 * @param serverKey key of the server
	 * @param nowMillis current time, in milliseconds
	 */
	void onSent(SharedPart part, int serverKey, long nowMillis) {
		Entry entry = touch(part.partKey(), serverKey, nowMillis);
		if (entry != null && nowMillis - entry.reportedMillis >= REPORT_INTERVAL_MILLIS) {
			entry.reportedMillis = nowMillis;
			entry.report = new PromptReport(part.partKey(), serverKey, part.tokenCount());
			entry.repetitions = REPETITIONS;
			this.reported.add(entry);
		}
	}

	/**
	 * Records a part that a peer sent. It needs no report by this process for now.
	 * @param report report of the peer
	 * @param nowMillis current time, in milliseconds
	 */
	void onReport(PromptReport report, long nowMillis) {
		Entry entry = touch(report.partKey(), report.serverKey(), nowMillis);
		if (entry != null && entry.repetitions == 0) {
			entry.reportedMillis = nowMillis;
		}
	}

	boolean contains(int partKey, int serverKey, long nowMillis) {
		Entry entry = this.entryByKey.get(FleetKeys.partAtServer(partKey, serverKey));
		return entry != null && nowMillis - entry.sentMillis <= CACHED_MILLIS;
	}

	/**
	 * Returns the reports of the next digest.
	 * @return the reports
	 */
	List<PromptReport> nextReports() {
		List<PromptReport> reports = new ArrayList<>(this.reported.size());
		for (Iterator<Entry> entries = this.reported.iterator(); entries.hasNext();) {
			Entry entry = entries.next();
			reports.add(entry.report);
			if (--entry.repetitions == 0) {
				entries.remove();
			}
		}
		return reports;
	}

	private Entry touch(int partKey, int serverKey, long nowMillis) {
		prune(nowMillis);
		long key = FleetKeys.partAtServer(partKey, serverKey);
		Entry entry = this.entryByKey.get(key);
		if (entry == null) {
			if (this.entryByKey.size() >= MAX_PARTS) {
				return null;
			}
			entry = new Entry(nowMillis);
			this.entryByKey.put(key, entry);
		}
		entry.sentMillis = nowMillis;
		return entry;
	}

	private void prune(long nowMillis) {
		if (nowMillis - this.prunedMillis >= PRUNE_INTERVAL_MILLIS) {
			this.prunedMillis = nowMillis;
			this.entryByKey.values().removeIf((entry) -> nowMillis - entry.sentMillis > CACHED_MILLIS);
		}
	}

	/** A part at a server. */
	private static final class Entry {

		private long sentMillis;

		private long reportedMillis;

		private PromptReport report;

		private int repetitions;

		private Entry(long nowMillis) {
			this.reportedMillis = nowMillis - REPORT_INTERVAL_MILLIS;
		}

	}

}
