package org.marjoramgw.direct.peer;

import java.util.ArrayList;
import java.util.List;

import org.marjoramgw.MillisClock;
import org.marjoramgw.time.Timers;

/**
 * Timers and clock that tests advance.
 *
 * @author The marjoramgw authors
 */
public final class ManualTimers implements Timers, MillisClock {

	private final List<Task> tasks = new ArrayList<>();

	private long nowMillis = 1_000_000;

	@Override
	public Handle schedule(long delayMillis, Runnable task) {
		Task scheduled = new Task(this.nowMillis + delayMillis, task);
		this.tasks.add(scheduled);
		return () -> this.tasks.remove(scheduled);
	}

	@Override
	public long nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Lets time pass without running any task.
	 * @param millis duration
	 */
	public void pause(long millis) {
		this.nowMillis += millis;
	}

	/**
	 * Runs the tasks that become due.
	 * @param millis duration
	 */
	public void advance(long millis) {
		long endMillis = this.nowMillis + millis;
		Task next = next(endMillis);
		while (next != null) {
			this.tasks.remove(next);
			this.nowMillis = Math.max(this.nowMillis, next.dueMillis);
			next.action.run();
			next = next(endMillis);
		}
		this.nowMillis = endMillis;
	}

	/**
	 * Returns the number of tasks that were not run yet.
	 * @return number of tasks
	 */
	public int pendingCount() {
		return this.tasks.size();
	}

	private Task next(long endMillis) {
		Task next = null;
		for (Task task : this.tasks) {
			if (task.dueMillis <= endMillis && (next == null || task.dueMillis < next.dueMillis)) {
				next = task;
			}
		}
		return next;
	}

	private static final class Task {

		private final long dueMillis;

		private final Runnable action;

		private Task(long dueMillis, Runnable action) {
			this.dueMillis = dueMillis;
			this.action = action;
		}

	}

}
