package org.marjoramgw.policy.slot;

/**
 * Limit that follows the measured gap between tokens.
 * <p>
 * An engine that batches more requests spaces their tokens further apart. The limit falls
 * by one while gaps exceed the targets of their classes, and rises by one while they are
 * well within them and all slots are taken.
 *
 * @author The marjoramgw authors
 */
public final class AdaptiveSlotLimit implements SlotLimit {

	private static final double FALL_ABOVE_RATIO = 1.0;

	private static final double RISE_BELOW_RATIO = 0.85;

	private final int minSlots;

	private final int maxSlots;

	private int slots;

	private double ratioSum;

	private int ratioCount;

	/**
	 * Creates a limit that starts at its greatest value.
	 * @param minSlots least limit, at least 1
	 * @param maxSlots greatest limit
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
	public void observeGap(double gapMillis, long targetMillis) {
		this.ratioSum += gapMillis / targetMillis;
		this.ratioCount++;
	}

	@Override
	public int adjust(int inFlight) {
		if (this.ratioCount > 0) {
			move(this.ratioSum / this.ratioCount, inFlight);
		}
		this.ratioSum = 0;
		this.ratioCount = 0;
		return this.slots;
	}

	private void move(double ratio, int inFlight) {
		if (ratio > FALL_ABOVE_RATIO) {
			this.slots = Math.max(this.slots - 1, this.minSlots);
		}
		else if (ratio < RISE_BELOW_RATIO && inFlight >= this.slots) {
			this.slots = Math.min(this.slots + 1, this.maxSlots);
		}
	}

}
