package org.marjoramgw.policy.slot;

/**
 * Slot limit that never changes.
 *
 * @author The marjoramgw authors
 */
public final class FixedSlotLimit implements SlotLimit {

	private final int slots;

	/**
	 * Creates a limit.
	 * @param slots the limit, at least 1
	 */
	public FixedSlotLimit(int slots) {
		this.slots = Math.max(slots, 1);
	}

	@Override
	public int slots() {
		return this.slots;
	}

	@Override
	public void observeTokenGap(double gapMillis, long targetMillis) {
		// a fixed limit ignores measurements
	}

	@Override
	public int adjust(int inFlight) {
		return this.slots;
	}

}
