package org.marjoramgw.policy.queue;

/**
 * Request that waits for a slot.
 *
 * @param key its identity
 * @param requestClass name of its class
 * @param tier service tier of the class, 1 is the highest
 * @param account name of the client account
 * @param arrivedMillis when it arrived, in milliseconds
 * @param startByMillis latest useful start, in milliseconds
 * @param targetStartMillis latest start that meets the target of its class, in
 * milliseconds
 * @param resumed whether it was preempted and waits to go on
 * @author The marjoramgw authors
 */
public record WaitingRequest(RequestKey key, String requestClass, int tier, String account, long arrivedMillis,
		long startByMillis, long targetStartMillis, boolean resumed) {

	/**
	 * Returns whether it can no longer start usefully.
	 * @param nowMillis current time, in milliseconds
	 * @return whether its latest start has passed; never for a preempted request
	 */
	public boolean isExpired(long nowMillis) {
		return !this.resumed && nowMillis > this.startByMillis;
	}

	/**
	 * Returns whether it has missed its target and is served only if nothing else of its
	 * tier can still meet one.
	 * @param nowMillis current time, in milliseconds
	 * @return whether it is late; never for a preempted request
	 */
	public boolean isLate(long nowMillis) {
		return !this.resumed && nowMillis > this.targetStartMillis;
	}

	/**
	 * Returns the same request as preempted.
	 * @return a request that goes before the new ones of its class
	 */
	public WaitingRequest asPreempted() {
		return new WaitingRequest(this.key, this.requestClass, this.tier, this.account, this.arrivedMillis,
				this.startByMillis, this.targetStartMillis, true);
	}

}
