package org.marjoramgw.policy.queue;

import java.util.Collection;

import org.marjoramgw.policy.share.MeanSlotTimes;

/**
 * Estimates how long a request that arrives will wait for a slot.
 * <p>
 * Only requests of the same or a higher tier count, so that a request is never refused
 * because of lower-tier load. Most reservations are released because another side process
 * grants a slot first; the work in the queue is therefore scaled by the measured fraction
 * of reservations that are granted here.
 *
 * @author The marjoramgw authors
 */
public final class WaitEstimator {

	private static final double SMOOTHING_FACTOR = 0.05;

	private static final double MEAN_REMAINING_FRACTION = 0.5;

	private final MeanSlotTimes slotTimes;

	private double grantedFraction = 1;

	/**
	 * Creates an estimator.
	 * @param slotTimes mean slot-times of the classes
	 */
	public WaitEstimator(MeanSlotTimes slotTimes) {
		this.slotTimes = slotTimes;
	}

	/**
	 * Records that a reservation left the queue.
	 * @param granted whether it was granted a slot here
	 */
	public void onRemoved(boolean granted) {
		this.grantedFraction += SMOOTHING_FACTOR * ((granted ? 1 : 0) - this.grantedFraction);
	}

	/**
	 * Estimates the wait of a new request.
	 * @param tier tier of the request
	 * @param waiting requests that wait
	 * @param holding requests that hold a slot
	 * @param slotLimit current slot limit
	 * @return time in milliseconds; 0 if its own and higher tiers leave a slot free
	 */
	public long waitMillis(int tier, Collection<WaitingRequest> waiting, Collection<WaitingRequest> holding,
			int slotLimit) {
		long aheadCount = countAhead(tier, waiting) + countAhead(tier, holding);
		if (aheadCount < slotLimit) {
			return 0;
		}
		double workMillis = workAhead(tier, waiting) * this.grantedFraction
				+ workAhead(tier, holding) * MEAN_REMAINING_FRACTION;
		return (long) (workMillis / slotLimit);
	}

	private static long countAhead(int tier, Collection<WaitingRequest> requests) {
		return requests.stream().filter((request) -> request.tier() <= tier).count();
	}

	private double workAhead(int tier, Collection<WaitingRequest> requests) {
		return requests.stream()
			.filter((request) -> request.tier() <= tier)
			.mapToDouble((request) -> this.slotTimes.meanMillis(request.requestClass()))
			.sum();
	}

}
