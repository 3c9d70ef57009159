package org.marjoramgw.policy.memory;

import java.util.Comparator;
import java.util.List;

/**
 * Progress of something that holds memory which others need.
 *
 * @param <T> type of the holder
 * @param holder the holder
 * @param stalledMillis time since its peer sent or read something, in milliseconds
 * @param waitedMillis time for which it has waited for memory, in milliseconds, or 0 if
 * its peer is what holds it up
 * @param heldBytes memory that it holds, in bytes
 * @author The marjoramgw authors
 */
public record Progress<T>(T holder, long stalledMillis, long waitedMillis, long heldBytes) {

	/** Time without progress after which a peer gives way to others. */
	private static final long MAX_STALL_MILLIS = 1_000;

	/** Share of the holders, one in this many, that give way at once if they stalled. */
	private static final int STALLED_SHARE = 8;

	/** Time for which holders wait for each other before one has to give way. */
	private static final long MAX_WAIT_MILLIS = 2_000;

	/**
	 * Chooses the holders whose memory is reclaimed next while others wait: the ones
	 * whose peers have stalled for the longest time, or, if all of them wait for memory,
	 * the one with the least, which has progressed the least.
	 * @param <T> type of the holders
	 * @param all all holders whose memory may be reclaimed
	 * @return the holders, or empty if the others have to wait
	 */
	public static <T> List<T> chooseVictims(List<Progress<T>> all) {
		List<T> stalled = all.stream()
			.filter((each) -> each.waitedMillis == 0 && each.stalledMillis >= MAX_STALL_MILLIS)
			.sorted(Comparator.comparingLong((each) -> -each.stalledMillis))
			.limit(1 + all.size() / STALLED_SHARE)
			.map(Progress::holder)
			.toList();
		if (!stalled.isEmpty() || all.stream().noneMatch((each) -> each.waitedMillis >= MAX_WAIT_MILLIS)) {
			return stalled;
		}
		return all.stream()
			.filter((each) -> each.waitedMillis > 0)
			.min(Comparator.comparingLong(Progress::heldBytes))
			.map(Progress::holder)
			.stream()
			.toList();
	}

}
