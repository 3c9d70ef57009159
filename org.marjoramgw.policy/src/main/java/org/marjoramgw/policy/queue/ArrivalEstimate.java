package org.marjoramgw.policy.queue;

import java.util.Collection;

import org.marjoramgw.policy.share.SlotTimes;

/**
 * Estimate of the wait for a slot, made when a request arrives.
 * <p>
 * Only requests of the same or a higher tier count, so that a request is never refused
 * because of lower-tier load. Most reservations are released when another side process
 * grants first; the share that is taken up is measured and scales the queue.
 *
 * @author The marjoramgw authors
 */
public final class ArrivalEstimate {

	private static final double NEW_SAMPLE_SHARE = 0.05;

	private static final double MEAN_PART_LEFT = 0.5;

	private final SlotTimes slotTimes;

	private double takeUpShare = 1;

	/**
	 * Creates an estimate.
	 * @param slotTimes recent slot-times of the classes
	 */
	public ArrivalEstimate(SlotTimes slotTimes) {
		this.slotTimes = slotTimes;
	}

	/**
	 * Notes that a reservation left the queue.
	 * @param takenUp whether it got a slot here
	 */
	public void left(boolean takenUp) {
		this.takeUpShare += NEW_SAMPLE_SHARE * ((takenUp ? 1 : 0) - this.takeUpShare);
	}

	/**
	 * Estimates the wait of a new request.
	 * @param tier its tier
	 * @param waiting requests that wait
	 * @param holding requests that hold a slot
	 * @param slotLimit present slot limit
	 * @return time in milliseconds, 0 if a slot is free of its own and higher tiers
	 */
	public long waitMillis(int tier, Collection<Waiting> waiting, Collection<Waiting> holding, int slotLimit) {
		long holders = countAhead(tier, waiting) + countAhead(tier, holding);
		if (holders < slotLimit) {
			return 0;
		}
		double workMillis = workAhead(tier, waiting) * this.takeUpShare + workAhead(tier, holding) * MEAN_PART_LEFT;
		return (long) (workMillis / slotLimit);
	}

	private static long countAhead(int tier, Collection<Waiting> requests) {
		return requests.stream().filter((request) -> request.tier() <= tier).count();
	}

	private double workAhead(int tier, Collection<Waiting> requests) {
		return requests.stream()
			.filter((request) -> request.tier() <= tier)
			.mapToDouble((request) -> this.slotTimes.of(request.requestClass()))
			.sum();
	}

}
