package org.marjoramgw.policy.queue;

/**
 * Request that waits for a slot.
 *
 * @param key identity of the attempt
 * @param requestClass name of its class
 * @param tier service tier of the class, 1 is the highest
 * @param account name of the client account
 * @param arrivedMillis when it arrived, in milliseconds
 * @param startByMillis time of the latest useful start, in milliseconds
 * @param targetStartMillis latest start that meets the target of its class, in
 * milliseconds
 * @param resumed whether it was preempted and waits to resume
 * @author The marjoramgw authors
 */
public record WaitingRequest(RequestKey key, String requestClass, int tier, String account, long arrivedMillis,
		long startByMillis, long targetStartMillis, boolean resumed) {

	/**
	 * Returns whether the latest useful start of this request has passed.
	 * @param nowMillis current time, in milliseconds
	 * @return whether it has expired; never for a preempted request
	 */
	public boolean isExpired(long nowMillis) {
		return !this.resumed && nowMillis > this.startByMillis;
	}

	/**
	 * Returns whether this request has missed its target and is served only if no other
	 * of its tier can still meet its own.
	 * @param nowMillis current time, in milliseconds
	 * @return whether it is late; never for a preempted request
	 */
	public boolean isLate(long nowMillis) {
		return !this.resumed && nowMillis > this.targetStartMillis;
	}

	/**
	 * Returns this request as one that was preempted and waits to resume.
	 * @return a request that goes before the new ones of its tier
	 */
	public WaitingRequest asPreempted() {
		return new WaitingRequest(this.key, this.requestClass, this.tier, this.account, this.arrivedMillis,
				this.startByMillis, this.targetStartMillis, true);
	}

}
