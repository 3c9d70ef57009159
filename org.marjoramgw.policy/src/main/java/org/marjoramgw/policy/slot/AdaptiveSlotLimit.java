package org.marjoramgw.policy.slot;

/**
 * Slot limit adapted to the measured gap between tokens.
 * <p>
 * An engine that batches more requests increases the token gap of all of them, so the
 * mean gap is compared with the strictest recent target. In each period, the limit falls
 * by one if the gap exceeds that target, and rises by one if the gap is well below it and
 * all slots are taken.
 *
 * @author The marjoramgw authors
 */
public final class AdaptiveSlotLimit implements SlotLimit {

	private static final double DECREASE_ABOVE_RATIO = 1.0;

	private static final double INCREASE_BELOW_RATIO = 0.85;

	private final int minSlots;

	private final int maxSlots;

	private int slots;

	private final StrictestTarget target = new StrictestTarget();

	private double gapSumMillis;

	private int gapCount;

	/**
	 * Creates a limit that starts at its maximum.
	 * @param minSlots minimum of the limit, at least 1
	 * @param maxSlots maximum of the limit
	 */
	public AdaptiveSlotLimit(int minSlots, int maxSlots) {
		this.maxSlots = Math.max(maxSlots, 1);
		this.minSlots = Math.min(Math.max(minSlots, 1), this.maxSlots);
		this.slots = this.maxSlots;
	}

	@Override
	public int slots() {
		return this.slots;
	}

	@Override
	public void observeTokenGap(double gapMillis, long targetMillis) {
		this.gapSumMillis += gapMillis;
		this.gapCount++;
		this.target.observe(targetMillis);
	}

	@Override
	public int adjust(int inFlight) {
		if (this.gapCount > 0) {
			adjustByRatio(this.gapSumMillis / this.gapCount / this.target.millis(), inFlight);
		}
		this.gapSumMillis = 0;
		this.gapCount = 0;
		this.target.endPeriod();
		return this.slots;
	}

	private void adjustByRatio(double ratio, int inFlight) {
		if (ratio > DECREASE_ABOVE_RATIO) {
			this.slots = Math.max(this.slots - 1, this.minSlots);
		}
		else if (ratio < INCREASE_BELOW_RATIO && inFlight >= this.slots) {
			this.slots = Math.min(this.slots + 1, this.maxSlots);
		}
	}

}
