package org.marjoramgw.time;

/**
 * Runs tasks later.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface Timers {

	/**
	 * Runs a task once.
	 * @param delayMillis delay in milliseconds
	 * @param task the task; it must not block
	 * @return handle that takes the task back
	 */
	Handle schedule(long delayMillis, Runnable task);

	/**
	 * Task that waits for its time.
	 */
	@FunctionalInterface
	interface Handle {

		/** Handle of no task. */
		Handle NONE = () -> {
		};

		/**
		 * Takes the task back if it has not run.
		 */
		void cancel();

	}

}
