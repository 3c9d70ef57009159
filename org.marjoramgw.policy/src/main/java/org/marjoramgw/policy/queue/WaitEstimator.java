package org.marjoramgw.policy.queue;

import java.util.Collection;

import org.marjoramgw.policy.share.MeanSlotTimes;

/**
 * Estimate of the wait for a slot, made when a request arrives.
 * <p>
 * Only requests of the same or a higher tier count, so that a request is never refused
 * because of lower-tier load. Most reservations are released when another side process
 * grants first; the share that is taken up is measured and scales the queue.
 *
 * @author The marjoramgw authors
 */
public final class WaitEstimator {

	private static final double SMOOTHING_FACTOR = 0.05;

	private static final double MEAN_REMAINING_FRACTION = 0.5;

	private final MeanSlotTimes slotTimes;

	private double grantedFraction = 1;

	/**
	 * Creates an estimate.
	 * @param slotTimes recent slot-times of the classes
	 */
	public WaitEstimator(MeanSlotTimes slotTimes) {
		this.slotTimes = slotTimes;
	}

	/**
	 * Records that a reservation left the queue.
	 * @param takenUp whether it got a slot here
	 */
	public void onRemoved(boolean takenUp) {
		this.grantedFraction += SMOOTHING_FACTOR * ((takenUp ? 1 : 0) - this.grantedFraction);
	}

	/**
	 * Estimates the wait of a new request.
	 * @param tier its tier
	 * @param waiting requests that wait
	 * @param holding requests that hold a slot
	 * @param slotLimit present slot limit
	 * @return time in milliseconds, 0 if a slot is free of its own and higher tiers
	 */
	public long waitMillis(int tier, Collection<WaitingRequest> waiting, Collection<WaitingRequest> holding,
			int slotLimit) {
		long holders = countAhead(tier, waiting) + countAhead(tier, holding);
		if (holders < slotLimit) {
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
