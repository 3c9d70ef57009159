package org.marjoramgw.entry.dispatch;

import org.marjoramgw.config.RequestClass;

/**
 * Deadlines of one request.
 *
 * @param arrivalMillis time of its arrival, in milliseconds
 * @param startWithinMillis longest wait for its start, in milliseconds
 * @param finishWithinMillis longest wait for its complete response, in milliseconds
 * @author The marjoramgw authors
 */
record RequestDeadlines(long arrivalMillis, long startWithinMillis, long finishWithinMillis) {

	/** Finish deadline as a multiple of the completion target of the class. */
	private static final int FINISH_DEADLINE_FACTOR = 2;

	private static final int TOP_TIER = 1;

	static RequestDeadlines of(RequestClass requestClass, long arrivalMillis) {
		return new RequestDeadlines(arrivalMillis, startWithinMillis(requestClass),
				requestClass.completionMillis() * FINISH_DEADLINE_FACTOR);
	}

	long startMillis() {
		return this.arrivalMillis + this.startWithinMillis;
	}

	long finishMillis() {
		return this.arrivalMillis + this.finishWithinMillis;
	}

	/**
	 * Returns how long a request may wait for its start. Below the top tier, a request
	 * that has missed its first-token target is refused, since it would only take a slot
	 * from requests that can still meet theirs.
	 * @param requestClass class of the request
	 * @return the longest wait, in milliseconds
	 */
	private static long startWithinMillis(RequestClass requestClass) {
		long defaultMillis = Math.max(requestClass.firstTokenMillis(), requestClass.completionMillis() / 2);
		boolean limitedToFirstToken = requestClass.tier() > TOP_TIER && requestClass.firstTokenMillis() > 0;
		return limitedToFirstToken ? requestClass.firstTokenMillis() : defaultMillis;
	}

}
