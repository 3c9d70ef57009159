package org.marjoramgw.policy.queue;

import java.util.Collection;
import java.util.Optional;

import org.marjoramgw.policy.share.SlotForecast;

/**
 * Order in which slots are granted to waiting requests.
 *
 * @author The marjoramgw authors
 */
public interface GrantOrder {

	/**
	 * Selects the request to grant a slot next.
	 * @param waiting the waiting requests
	 * @param freeSlots slots that are free, at least 1
	 * @param slots forecast of the slots
	 * @param nowMillis current time, in milliseconds
	 * @return the request, or empty if none may be granted a slot now
	 */
	Optional<WaitingRequest> next(Collection<WaitingRequest> waiting, int freeSlots, SlotForecast slots,
			long nowMillis);

}
