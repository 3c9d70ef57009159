package org.marjoramgw.policy.queue;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.marjoramgw.policy.share.SlotOutlook;

/**
 * Order by arrival alone; the baseline against which tiers are measured.
 *
 * @author The marjoramgw authors
 */
public final class ArrivalOrder implements GrantOrder {

	@Override
	public Optional<Waiting> next(Collection<Waiting> waiting, int freeSlots, SlotOutlook slots, long nowMillis) {
		return waiting.stream().min(Comparator.comparingLong(Waiting::arrivedMillis));
	}

}
