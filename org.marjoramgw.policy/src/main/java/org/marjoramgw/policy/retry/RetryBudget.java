package org.marjoramgw.policy.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Retries allowed for each class, as a share of the requests of that class; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class RetryBudget {

	private static final double PERCENT = 100.0;

	private final double maxSaved;

	private final Map<String, Double> savedByClass = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param maxSaved greatest number of retries that a class saves up; each class starts
	 * with this many
	 */
	public RetryBudget(double maxSaved) {
		this.maxSaved = maxSaved;
	}

	/**
	 * Credits a class with one request.
	 * @param requestClass name of the class
	 * @param retryPercent retries earned by a hundred requests
	 */
	public synchronized void onRequest(String requestClass, int retryPercent) {
		double saved = saved(requestClass) + retryPercent / PERCENT;
		this.savedByClass.put(requestClass, Math.min(this.maxSaved, saved));
	}

	/**
	 * Spends one retry.
	 * @param requestClass name of the class
	 * @return whether the retry is allowed
	 */
	public synchronized boolean tryRetry(String requestClass) {
		double saved = saved(requestClass);
		if (saved < 1) {
			return false;
		}
		this.savedByClass.put(requestClass, saved - 1);
		return true;
	}

	private double saved(String requestClass) {
		return this.savedByClass.getOrDefault(requestClass, this.maxSaved);
	}

}
