package org.marjoramgw.policy.limiter;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.Executor;

/**
 * Limits how many requests start at the same time and queues the others by priority;
 * thread-safe.
 * <p>
 * Handles load on a process that has just started and whose code still runs slowly.
 * Without the limit every request would start at once and all would wait in the queues of
 * the runtime, which consider neither their priority nor whether their callers have
 * disconnected.
 *
 * @author The marjoramgw authors
 */
public final class StartLimiter {

	private static final Runnable NO_ACTION = () -> {
	};

	private int maxStarting;

	private final Executor executor;

	private final TreeSet<Permit> waiting = new TreeSet<>(
			Comparator.comparingInt((Permit permit) -> permit.priority).thenComparingLong((permit) -> permit.sequence));

	private int startingCount;

	private long nextSequence;

	/**
	 * Creates a limiter.
	 * @param maxStarting maximum number of requests that start at the same time
	 * @param executor runs the start tasks of requests that had to wait
	 */
	public StartLimiter(int maxStarting, Executor executor) {
		this.maxStarting = maxStarting;
		this.executor = executor;
	}

	/**
	 * Requests a permit and starts the request once it is acquired, at once if the number
	 * of starting requests is below the limit.
	 * @param priority priority of the request, 0 is the highest
	 * @param start starts the request; may be called before this method returns
	 * @return the permit, to be released once the request has started or is abandoned
	 */
	public Permit acquire(int priority, Runnable start) {
		Permit permit;
		synchronized (this) {
			permit = new Permit(priority, this.nextSequence++, start);
			if (this.startingCount >= this.maxStarting) {
				this.waiting.add(permit);
				return permit;
			}
			this.startingCount++;
			permit.acquired = true;
		}
		start.run();
		return permit;
	}

	/**
	 * Requests a permit without waiting.
	 * @return the permit, to be released once the request has started or is abandoned, or
	 * empty if the number of starting requests has reached the limit
	 */
	public synchronized Optional<Permit> tryAcquire() {
		if (this.startingCount >= this.maxStarting) {
			return Optional.empty();
		}
		Permit permit = new Permit(0, this.nextSequence++, NO_ACTION);
		this.startingCount++;
		permit.acquired = true;
		return Optional.of(permit);
	}

	/**
	 * Returns the number of requests that wait for a permit.
	 * @return the number of requests
	 */
	public synchronized int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Lifts the limit: starts all that wait, and from now on each request at once.
	 */
	public void lift() {
		List<Permit> due;
		synchronized (this) {
			this.maxStarting = Integer.MAX_VALUE;
			due = new ArrayList<>(this.waiting);
			this.waiting.clear();
			due.forEach((permit) -> permit.acquired = true);
			this.startingCount += due.size();
		}
		due.forEach((permit) -> this.executor.execute(permit.start));
	}

	private synchronized boolean withdraw(Permit permit) {
		boolean withdrawn = this.waiting.remove(permit);
		permit.released |= withdrawn;
		return withdrawn;
	}

	private void release(Permit permit) {
		Permit next;
		synchronized (this) {
			if (permit.released) {
				return;
			}
			permit.released = true;
			this.waiting.remove(permit);
			if (!permit.acquired) {
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
	 * Permit of one request, acquired or waiting.
	 */
	public final class Permit {

		private final int priority;

		private final long sequence;

		private final Runnable start;

		private boolean acquired;

		private boolean released;

		private Permit(int priority, long sequence, Runnable start) {
			this.priority = priority;
			this.sequence = sequence;
			this.start = start;
		}

		/**
		 * Releases the permit; further calls do nothing.
		 */
		public void release() {
			StartLimiter.this.release(this);
		}

		/**
		 * Takes the request out of the queue if it still waits. It never starts then.
		 * @return whether it was waiting; false if it was started or released before
		 */
		public boolean withdraw() {
			return StartLimiter.this.withdraw(this);
		}

	}

}
