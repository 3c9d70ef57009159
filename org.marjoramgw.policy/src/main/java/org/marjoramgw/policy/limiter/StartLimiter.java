package org.marjoramgw.policy.limiter;

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
public final class StartLimiter {

	private final int maxStarting;

	private final Executor executor;

	private final TreeSet<Permit> waiting = new TreeSet<>(
			Comparator.comparingInt((Permit place) -> place.priority).thenComparingLong((place) -> place.sequence));

	private int startingCount;

	private long nextSequence;

	/**
	 * Creates a gate.
	 * @param maxStarting requests that may start at once
	 * @param executor runs the start of a request that had to wait
	 */
	public StartLimiter(int maxStarting, Executor executor) {
		this.maxStarting = maxStarting;
		this.executor = executor;
	}

	/**
	 * Starts a request, at once if there is room.
	 * @param priority rank of the request, 0 is the most urgent
	 * @param start starts it
	 * @return its place, to be given back once it has started or is given up
	 */
	public Permit acquire(int priority, Runnable start) {
		Permit place;
		synchronized (this) {
			place = new Permit(priority, this.nextSequence++, start);
			if (this.startingCount >= this.maxStarting) {
				this.waiting.add(place);
				return place;
			}
			this.startingCount++;
			place.acquired = true;
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

	private void release(Permit place) {
		Permit next;
		synchronized (this) {
			if (place.released) {
				return;
			}
			place.released = true;
			this.waiting.remove(place);
			if (!place.acquired) {
				return;
			}
			next = this.waiting.pollFirst();
			if (next == null) {
				this.startingCount--;
				return;
			}
			next.acquired = true;
		}
		this.executor.execute(next.start);
	}

	/**
	 * Place of one request.
	 */
	public final class Permit {

		private final int priority;

		private final long sequence;

		private final Runnable start;

		private boolean acquired;

		private boolean released;

		private Permit(int priority, long number, Runnable start) {
			this.priority = priority;
			this.sequence = number;
			this.start = start;
		}

		/**
		 * Gives the place back; further calls do nothing.
		 */
		public void release() {
			StartLimiter.this.release(this);
		}

	}

}
