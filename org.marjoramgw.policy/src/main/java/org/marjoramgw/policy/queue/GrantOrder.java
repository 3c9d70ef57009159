package org.marjoramgw.policy.queue;

import java.util.Collection;
import java.util.Optional;

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
	 * @param slotLimit present slot limit
	 * @param nowMillis the present time, in milliseconds
	 * @return the request, or empty if none may have a slot now
	 */
	Optional<Waiting> next(Collection<Waiting> waiting, int freeSlots, int slotLimit, long nowMillis);

}
