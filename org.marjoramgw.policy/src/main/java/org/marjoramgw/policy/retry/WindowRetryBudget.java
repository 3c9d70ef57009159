package org.marjoramgw.policy.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

import org.marjoramgw.MillisClock;

/**
 * Limits the retries of each service within a sliding window to a share of this process's
 * own requests; thread-safe.
 * <p>
 * Many processes keep a common budget without coordination: each spends only the retries
 * that its own requests earn and a small share of those that need no requests.
 *
 * @author The marjoramgw authors
 */
public final class WindowRetryBudget {

	/**
	 * Fraction of the ratio that is spent; the remainder covers differences between the
	 * windows of the processes.
	 */
	private static final double USABLE_FRACTION = 0.8;

	private final MillisClock clock;

	private final long windowMillis;

	private final double ratio;

	private final DoubleSupplier freeCount;

	private final Map<String, Usage> usageByService = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param clock monotonic clock
	 * @param windowMillis length of the window, in milliseconds
	 * @param ratio retries earned by each request in the window
	 * @param freeCount retries that this process may make in a window without any
	 * requests
	 */
	public WindowRetryBudget(MillisClock clock, long windowMillis, double ratio, DoubleSupplier freeCount) {
		this.clock = clock;
		this.windowMillis = windowMillis;
		this.ratio = ratio;
		this.freeCount = freeCount;
	}

	/**
	 * Records a request from a caller.
	 * @param service name of the service
	 */
	public synchronized void onRequest(String service) {
		usage(service).requests.addLast(this.clock.nowMillis());
	}

	/**
	 * Records a retry if the budget of a service allows it.
	 * @param service name of the service
	 * @return whether the retry is allowed
	 */
	public synchronized boolean tryRetry(String service) {
		Usage usage = usage(service);
		double allowed = this.freeCount.getAsDouble() + USABLE_FRACTION * this.ratio * usage.requests.size();
		if (usage.retries.size() + 1 > allowed) {
			return false;
		}
		usage.retries.addLast(this.clock.nowMillis());
		return true;
	}

	private Usage usage(String service) {
		Usage usage = this.usageByService.computeIfAbsent(service, (name) -> new Usage());
		long start = this.clock.nowMillis() - this.windowMillis;
		dropBefore(usage.requests, start);
		dropBefore(usage.retries, start);
		return usage;
	}

	private static void dropBefore(Deque<Long> times, long startMillis) {
		while (!times.isEmpty() && times.peekFirst() <= startMillis) {
			times.removeFirst();
		}
	}

	private static final class Usage {

		private final Deque<Long> requests = new ArrayDeque<>();

		private final Deque<Long> retries = new ArrayDeque<>();

	}

}
