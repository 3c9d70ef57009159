package org.marjoramgw.policy.lease;

/**
 * Next step of a process with regard to the lease.
 *
 * @param kind what to do
 * @param waitMillis how long a read or a pause may wait, in milliseconds
 * @author The marjoramgw authors
 */
public record LeaseStep(Kind kind, long waitMillis) {

	static LeaseStep of(Kind kind) {
		return new LeaseStep(kind, 0);
	}

	/**
	 * Kind of a step.
	 */
	public enum Kind {

		/** Read the latest records of the topic. */
		SNAPSHOT,

		/** Read the records from {@link LeaseState#end()} on. */
		READ,

		/** Do nothing for the time of the step. */
		PAUSE,

		/** Append a record that acquires the lease. */
		ACQUIRE,

		/** Append a record that renews the lease. */
		RENEW,

		/** Append a record that gives the lease up. */
		RELEASE,

		/** Nothing is left to do. */
		STOP;

		/**
		 * Tells whether the step appends a record.
		 * @return whether it does
		 */
		public boolean isAppend() {
			return this == ACQUIRE || this == RENEW || this == RELEASE;
		}

	}

}
