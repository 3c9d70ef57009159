package org.marjoramgw.policy.memory;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

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

	/** Time for which holders wait for each other before one has to give way. */
	private static final long MAX_WAIT_MILLIS = 2_000;

	/**
	 * Chooses the holder whose memory is reclaimed next while others wait: the one whose
	 * peer has stalled for the longest time, or, if all of them wait for memory, the one
	 * with the least, which has progressed the least.
	 * @param <T> type of the holders
	 * @param all all holders whose memory may be reclaimed
	 * @return the holder, or empty if the others have to wait
	 */
	public static <T> Optional<T> chooseVictim(List<Progress<T>> all) {
		Optional<Progress<T>> stalled = all.stream()
			.filter((each) -> each.waitedMillis == 0 && each.stalledMillis >= MAX_STALL_MILLIS)
			.max(Comparator.comparingLong(Progress::stalledMillis));
		if (stalled.isPresent()) {
			return stalled.map(Progress::holder);
		}
		if (all.stream().noneMatch((each) -> each.waitedMillis >= MAX_WAIT_MILLIS)) {
			return Optional.empty();
		}
		return all.stream()
			.filter((each) -> each.waitedMillis > 0)
			.min(Comparator.comparingLong(Progress::heldBytes))
			.map(Progress::holder);
	}

}
