package org.marjoramgw.policy.waiting;

import java.util.Comparator;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * Urgency of a request that waits, wherever it waits.
 * <p>
 * The lower rank goes first, within a rank the later stage, since more was done for it,
 * and then the newest: under a backlog it can still be answered in time, while the oldest
 * first would make all of them late.
 *
 * @param rank priority rank; 0 is the most urgent
 * @param stage how far the request has come
 * @param arrivedMillis when the request arrived by the monotonic clock, in milliseconds
 * @author The marjoramgw authors
 */
public record Urgency(int rank, Stage stage, long arrivedMillis) implements Comparable<Urgency> {

	private static final Comparator<Urgency> ORDER = Comparator.comparingInt(Urgency::rank)
		.thenComparing(Urgency::stage)
		.thenComparing(Urgency::arrivedMillis, Comparator.reverseOrder());

	/**
	 * Returns the urgency of a request that was read.
	 * @param rank its rank
	 * @param arrivedMillis when it arrived by the monotonic clock, in milliseconds
	 * @return its urgency
	 */
	public static Urgency read(int rank, long arrivedMillis) {
		return new Urgency(rank, Stage.READ, arrivedMillis);
	}

	/**
	 * Returns the urgency of a request of which only a preview is known.
	 * @param rank its rank
	 * @param arrivedMillis when it arrived by the monotonic clock, in milliseconds
	 * @return its urgency
	 */
	public static Urgency unread(int rank, long arrivedMillis) {
		return new Urgency(rank, Stage.UNREAD, arrivedMillis);
	}

	/**
	 * Returns the urgency of the same request once a server was reserved for it.
	 * @return its urgency from now on
	 */
	public Urgency admitted() {
		return new Urgency(this.rank, Stage.ADMITTED, this.arrivedMillis);
	}

	/**
	 * Returns the order of things that wait, the most urgent first. Among equals the
	 * latest goes first, so that no two are the same.
	 * @param <T> type of what waits
	 * @param urgency returns its urgency
	 * @param sequence returns its sequence number
	 * @return the order
	 */
	public static <T> Comparator<T> order(Function<T, Urgency> urgency, ToLongFunction<T> sequence) {
		return Comparator.comparing(urgency).thenComparing(Comparator.comparingLong(sequence).reversed());
	}

	@Override
	public int compareTo(Urgency other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Tells whether this request must never wait for the other one.
	 * @param other urgency of another request
	 * @return whether this one has the lower rank
	 */
	public boolean outranks(Urgency other) {
		return this.rank < other.rank;
	}

	/**
	 * Tells whether a request that waits goes before one that begins to wait now. Among
	 * equals the latest goes first.
	 * @param later urgency of the request that begins to wait
	 * @return whether this one is more urgent
	 */
	public boolean precedes(Urgency later) {
		return compareTo(later) < 0;
	}

	/** How far a request has come, the furthest first. */
	public enum Stage {

		/** A server's permit is reserved for it. */
		ADMITTED,

		/** It was read. */
		READ,

		/** Only a preview of it is known. */
		UNREAD

	}

}
