package org.marjoramgw.time;

/**
 * Schedules tasks to run after a delay.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface Timers {

	/**
	 * Schedules a task to run once.
	 * @param delayMillis delay in milliseconds; may be shortened to a day
	 * @param task the task; it must not block
	 * @return handle that cancels the task
	 */
	Handle schedule(long delayMillis, Runnable task);

	/**
	 * Handle of a scheduled task.
	 */
	@FunctionalInterface
	interface Handle {

		/** Handle that refers to no task. */
		Handle NONE = () -> {
		};

		/**
		 * Cancels the task if it has not run.
		 */
		void cancel();

	}

}
