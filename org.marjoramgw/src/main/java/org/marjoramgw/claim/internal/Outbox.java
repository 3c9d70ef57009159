package org.marjoramgw.claim.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

import org.tinylog.Logger;

/**
 * Results and releases that wait for the log; bounded, thread-safe.
 *
 * @author The marjoramgw authors
 */
final class Outbox {

	private static final int MAX_RECORDS = 5_000;

	private final List<ClaimRecord> records = new ArrayList<>();

	synchronized void add(ClaimRecord record) {
		if (this.records.size() >= MAX_RECORDS) {
			// The key of a lost result stays taken with an unknown outcome, which is
			// safe.
			ClaimRecord dropped = this.records.remove(0);
			Logger.warn("log away for long, record of claim {} dropped", dropped.claimId());
		}
		this.records.add(record);
	}

	synchronized List<ClaimRecord> first(int maxRecords) {
		return List.copyOf(this.records.subList(0, Math.min(maxRecords, this.records.size())));
	}

	synchronized void removeAll(List<ClaimRecord> appended) {
		this.records.removeAll(appended);
	}

	synchronized boolean isEmpty() {
		return this.records.isEmpty();
	}

	synchronized boolean containsRelease(String claimId) {
		for (ClaimRecord record : this.records) {
			if (record instanceof ClaimRecord.Release && record.claimId().equals(claimId)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Drops what the log shows already, after an append whose answer was lost.
	 * @param fold state that reflects the whole stream
	 */
	synchronized void removeRecorded(ClaimState fold) {
		Iterator<ClaimRecord> iterator = this.records.iterator();
		while (iterator.hasNext()) {
			if (isRecorded(iterator.next(), fold)) {
				iterator.remove();
			}
		}
	}

	private static boolean isRecorded(ClaimRecord record, ClaimState fold) {
		if (record instanceof ClaimRecord.Release) {
			return fold.isReleased(record.claimId());
		}
		return fold.holder(TruncatedSha256.parse(record.key()))
			.filter((holder) -> holder.claimId().equals(record.claimId()) && holder.hasResult())
			.isPresent();
	}

}
