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

	private final double maxBalance;

	private final Map<String, Double> balanceByClass = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param maxSaved greatest number of retries that a class saves up; each class starts
	 * with this many
	 */
	public RetryBudget(double maxSaved) {
		this.maxBalance = maxSaved;
	}

	/**
	 * Credits a class with one request.
	 * @param requestClass name of the class
	 * @param retryPercent retries earned by a hundred requests
	 */
	public synchronized void onRequest(String requestClass, int retryPercent) {
		double saved = balance(requestClass) + retryPercent / PERCENT;
		this.balanceByClass.put(requestClass, Math.min(this.maxBalance, saved));
	}

	/**
	 * Spends one retry.
	 * @param requestClass name of the class
	 * @return whether the retry is allowed
	 */
	public synchronized boolean tryRetry(String requestClass) {
		double saved = balance(requestClass);
		if (saved < 1) {
			return false;
		}
		this.balanceByClass.put(requestClass, saved - 1);
		return true;
	}

	private double balance(String requestClass) {
		return this.balanceByClass.getOrDefault(requestClass, this.maxBalance);
	}

}
