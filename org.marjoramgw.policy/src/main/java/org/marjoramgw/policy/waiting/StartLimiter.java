package org.marjoramgw.policy.waiting;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeSet;
import java.util.concurrent.Executor;

/**
 * Limits how many requests start at the same time and queues the others by urgency;
 * thread-safe. A request starts from the moment at which its connection is opened or, on
 * a kept connection, it was read, until it is sent to a server.
 * <p>
 * Handles load on a process that is short of processor time. Without the limit every
 * request would start at once and all would wait in the queues of the runtime, which
 * consider neither their urgency nor whether their callers have disconnected.
 *
 * @author The marjoramgw authors
 */
public final class StartLimiter {

	private static final Runnable NO_ACTION = () -> {
	};

	private final int maxStarting;

	private final Executor executor;

	private final TreeSet<Permit> waiting = new TreeSet<>(
			Urgency.order((permit) -> permit.urgency, (permit) -> permit.sequence));

	private int startingCount;

	private long nextSequence;

	private boolean unreadLifted;

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
	 * @param urgency urgency of the request
	 * @param start starts the request; may be called before this method returns
	 * @return the permit, to be released once the request has started or is abandoned
	 */
	public Permit acquire(Urgency urgency, Runnable start) {
		Permit permit;
		synchronized (this) {
			permit = new Permit(urgency, this.nextSequence++, start);
			if (this.startingCount >= this.maxStarting) {
				this.waiting.add(permit);
				return permit;
			}
			this.startingCount++;
			permit.acquired = true;
		}
		try {
			start.run();
		}
		catch (RuntimeException ex) {
			permit.release();
			throw ex;
		}
		return permit;
	}

	/**
	 * Requests a permit, and has the request started by the executor in any case.
	 * @param urgency urgency of the request
	 * @param start starts the request
	 * @return the permit, to be released once the request has started or is abandoned
	 */
	public Permit enqueue(Urgency urgency, Runnable start) {
		Permit permit;
		synchronized (this) {
			permit = new Permit(urgency, this.nextSequence++, start);
			this.waiting.add(permit);
		}
		startDue(0);
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
		Permit permit = new Permit(Urgency.read(0, 0), this.nextSequence++, NO_ACTION);
		this.startingCount++;
		permit.acquired = true;
		return Optional.of(permit);
	}

	/**
	 * Returns how many requests would start before one that asked for a permit now.
	 * @param urgency urgency of the request
	 * @return the number of more urgent requests that wait, or empty if it would start at
	 * once
	 */
	public synchronized OptionalInt waitingBefore(Urgency urgency) {
		if (this.startingCount < this.maxStarting) {
			return OptionalInt.empty();
		}
		return OptionalInt.of((int) this.waiting.stream().filter((permit) -> permit.urgency.precedes(urgency)).count());
	}

	/**
	 * Lets no request start until the returned action is run, so that the most urgent one
	 * is known.
	 * @return action that lets requests start
	 */
	public Runnable hold() {
		synchronized (this) {
			this.startingCount += this.maxStarting;
		}
		return () -> startDue(this.maxStarting);
	}

	/**
	 * Returns the number of requests that wait for a permit.
	 * @return the number of requests
	 */
	public synchronized int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Starts all unread requests that wait, and from now on each unread one at once. The
	 * others go on waiting for their turn.
	 */
	public void liftForUnread() {
		synchronized (this) {
			this.unreadLifted = true;
		}
		startDue(0);
	}

	private void startDue(int givenBackCount) {
		List<Permit> due = new ArrayList<>();
		synchronized (this) {
			this.startingCount -= givenBackCount;
			while (this.startingCount < this.maxStarting && !this.waiting.isEmpty()) {
				due.add(take(this.waiting.first()));
			}
			if (this.unreadLifted) {
				List<Permit> unread = this.waiting.stream().filter(Permit::isUnread).toList();
				unread.forEach((permit) -> due.add(take(permit)));
			}
		}
		due.forEach((permit) -> this.executor.execute(permit.start));
	}

	private Permit take(Permit permit) {
		this.waiting.remove(permit);
		permit.acquired = true;
		this.startingCount++;
		return permit;
	}

	private synchronized boolean withdraw(Permit permit) {
		boolean withdrawn = this.waiting.remove(permit);
		permit.released |= withdrawn;
		return withdrawn;
	}

	private void release(Permit permit) {
		synchronized (this) {
			if (permit.released) {
				return;
			}
			permit.released = true;
			this.waiting.remove(permit);
			if (!permit.acquired) {
				return;
			}
		}
		startDue(1);
	}

	/**
	 * Permit of one request, acquired or waiting.
	 */
	public final class Permit {

		private final Urgency urgency;

		private final long sequence;

		private final Runnable start;

		private boolean acquired;

		private boolean released;

		private Permit(Urgency urgency, long sequence, Runnable start) {
			this.urgency = urgency;
			this.sequence = sequence;
			this.start = start;
		}

		private boolean isUnread() {
			return this.urgency.stage() == Urgency.Stage.UNREAD;
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
