package org.marjoramgw.claim.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

import org.tinylog.Logger;

/**
 * Bounded queue of results and releases to append to the log; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class Outbox {

	private static final int MAX_RECORDS = 5_000;

	private final List<ClaimRecord> records = new ArrayList<>();

	synchronized void add(ClaimRecord record) {
		if (this.records.size() >= MAX_RECORDS) {
			// Safe: a claim without a result record stays held, with an unknown outcome.
			ClaimRecord dropped = this.records.remove(0);
			Logger.warn("too many records wait for the log service; record of claim {} is dropped", dropped.claimId());
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
	 * Removes the records that are already in the log. After an append whose response was
	 * lost, this prevents a second append of the same record.
	 * @param state state derived from the complete stream
	 */
	synchronized void removeRecorded(ClaimState state) {
		Iterator<ClaimRecord> iterator = this.records.iterator();
		while (iterator.hasNext()) {
			if (isRecorded(iterator.next(), state)) {
				iterator.remove();
			}
		}
	}

	private static boolean isRecorded(ClaimRecord record, ClaimState state) {
		if (record instanceof ClaimRecord.Release) {
			return state.isReleased(record.claimId());
		}
		return state.holder(TruncatedSha256.parse(record.key()))
			.filter((holder) -> holder.claimId().equals(record.claimId()) && holder.hasResult())
			.isPresent();
	}

}
