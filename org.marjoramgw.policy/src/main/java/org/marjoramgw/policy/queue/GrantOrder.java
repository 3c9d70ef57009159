package org.marjoramgw.policy.queue;

import java.util.Collection;
import java.util.Optional;

import org.marjoramgw.policy.share.SlotForecast;

/**
 * Order in which waiting requests are granted slots.
 *
 * @author The marjoramgw authors
 */
public interface GrantOrder {

	/**
	 * Picks the request to grant next.
	 * @param waiting the waiting requests
	 * @param freeSlots slots that are free, at least 1
	 * @param slots outlook on the slots
	 * @param nowMillis current time, in milliseconds
	 * @return the request, or empty if none may have a slot now
	 */
	Optional<WaitingRequest> next(Collection<WaitingRequest> waiting, int freeSlots, SlotForecast slots,
			long nowMillis);

}
