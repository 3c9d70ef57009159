package org.marjoramgw.policy.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of each class to a percentage of the requests of that class;
 * thread-safe.
 * <p>
 * Each request adds to the balance of its class and each retry takes one from it.
 *
 * @author The marjoramgw authors
 */
public final class RetryBudget {

	private static final double PERCENT = 100.0;

	private final double maxBalance;

	private final Map<String, Double> balanceByClass = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param maxBalance maximum balance of a class, in retries; each class starts with it
	 */
	public RetryBudget(double maxBalance) {
		this.maxBalance = maxBalance;
	}

	/**
	 * Credits a class for one request.
	 * @param requestClass name of the class
	 * @param retryPercent retries earned by 100 requests
	 */
	public synchronized void onRequest(String requestClass, int retryPercent) {
		double balance = balance(requestClass) + retryPercent / PERCENT;
		this.balanceByClass.put(requestClass, Math.min(this.maxBalance, balance));
	}

	/**
	 * Takes one retry from the balance of a class if it covers one.
	 * @param requestClass name of the class
	 * @return whether the retry is allowed
	 */
	public synchronized boolean tryRetry(String requestClass) {
		double balance = balance(requestClass);
		if (balance < 1) {
			return false;
		}
		this.balanceByClass.put(requestClass, balance - 1);
		return true;
	}

	private double balance(String requestClass) {
		return this.balanceByClass.getOrDefault(requestClass, this.maxBalance);
	}

}
