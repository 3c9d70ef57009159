package org.marjoramgw.policy.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.marjoramgw.policy.usage.WindowCounts;

/**
 * Simulated topic of the duties.
 *
 * @author The marjoramgw authors
 */
final class SimulatedStore {

	private final List<Item> items = new ArrayList<>();

	int end() {
		return this.items.size();
	}

	/**
	 * Appends if the topic ends at an offset.
	 * @param added the records
	 * @param at the offset
	 * @return whether they were appended
	 */
	boolean append(List<Item> added, long at) {
		if (at != this.items.size()) {
			return false;
		}
		this.items.addAll(added);
		return true;
	}

	List<Item> from(long offset) {
		return List.copyOf(this.items.subList((int) offset, this.items.size()));
	}

	/**
	 * Record of the topic; exactly one of its parts is present.
	 *
	 * @param lease record of the lease
	 * @param report content of a report
	 * @param done last finished window
	 */
	record Item(Optional<LeaseRecord> lease, Optional<WindowCounts> report, OptionalLong done) {

		static Item of(LeaseRecord lease) {
			return new Item(Optional.of(lease), Optional.empty(), OptionalLong.empty());
		}

		static Item of(WindowCounts report) {
			return new Item(Optional.empty(), Optional.of(report), OptionalLong.empty());
		}

		static Item ofDone(long window) {
			return new Item(Optional.empty(), Optional.empty(), OptionalLong.of(window));
		}

	}

}
