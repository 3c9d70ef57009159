package org.marjoramgw.policy.queue;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.marjoramgw.policy.share.SlotForecast;

/**
 * First come, first served; the baseline against which tiers are measured.
 *
 * @author The marjoramgw authors
 */
public final class FcfsOrder implements GrantOrder {

	@Override
	public Optional<WaitingRequest> next(Collection<WaitingRequest> waiting, int freeSlots, SlotForecast slots,
			long nowMillis) {
		return waiting.stream().min(Comparator.comparingLong(WaitingRequest::arrivedMillis));
	}

}
