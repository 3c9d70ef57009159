package org.marjoramgw.policy.gate;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.Executor;

/**
 * Lets a few requests start at once and keeps the others in order of urgency;
 * thread-safe.
 * <p>
 * It answers the load of a process that has just started: its code is slow, and without a
 * gate each request would be begun, and all would wait in the queues of the runtime,
 * where neither their rank nor the leaving of their callers counts.
 *
 * @author The marjoramgw authors
 */
public final class StartGate {

	private final int maxStarting;

	private final Executor executor;

	private final TreeSet<Place> waiting = new TreeSet<>(
			Comparator.comparingInt((Place place) -> place.priority).thenComparingLong((place) -> place.number));

	private int starting;

	private long nextNumber;

	/**
	 * Creates a gate.
	 * @param maxStarting requests that may start at once
	 * @param executor runs the start of a request that had to wait
	 */
	public StartGate(int maxStarting, Executor executor) {
		this.maxStarting = maxStarting;
		this.executor = executor;
	}

	/**
	 * Starts a request, at once if there is room.
	 * @param priority rank of the request, 0 is the most urgent
	 * @param start starts it
	 * @return its place, to be given back once it has started or is given up
	 */
	public Place enter(int priority, Runnable start) {
		Place place;
		synchronized (this) {
			place = new Place(priority, this.nextNumber++, start);
			if (this.starting >= this.maxStarting) {
				this.waiting.add(place);
				return place;
			}
			this.starting++;
			place.inside = true;
		}
		start.run();
		return place;
	}

	/**
	 * Returns how many requests wait.
	 * @return the number of requests
	 */
	public synchronized int waitingCount() {
		return this.waiting.size();
	}

	private void leave(Place place) {
		Place next;
		synchronized (this) {
			if (place.left) {
				return;
			}
			place.left = true;
			this.waiting.remove(place);
			if (!place.inside) {
				return;
			}
			next = this.waiting.pollFirst();
			if (next == null) {
				this.starting--;
				return;
			}
			next.inside = true;
		}
		this.executor.execute(next.start);
	}

	/**
	 * Place of one request.
	 */
	public final class Place {

		private final int priority;

		private final long number;

		private final Runnable start;

		private boolean inside;

		private boolean left;

		private Place(int priority, long number, Runnable start) {
			this.priority = priority;
			this.number = number;
			this.start = start;
		}

		/**
		 * Gives the place back; further calls do nothing.
		 */
		public void leave() {
			StartGate.this.leave(this);
		}

	}

}
