package org.marjoramgw.policy.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.marjoramgw.MillisClock;

/**
 * Retries allowed for each service within a sliding window, as a share of this process's
 * own requests; thread-safe.
 * <p>
 * A budget that many processes share is kept without talking: each spends only what its
 * own requests earn and a small share of what is free for all.
 *
 * @author The marjoramgw authors
 */
public final class WindowRetryBudget {

	/**
	 * Part of the ratio that is spent; the rest covers windows that the processes see
	 * differently.
	 */
	private static final double USABLE_FRACTION = 0.8;

	private final MillisClock clock;

	private final long windowMillis;

	private final double ratio;

	private final int freeCount;

	private final Map<String, Usage> usageByService = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param clock monotonic clock
	 * @param windowMillis length of the window, in milliseconds
	 * @param ratio retries for each request of the window
	 * @param freeCount retries in a window that need no requests
	 */
	public WindowRetryBudget(MillisClock clock, long windowMillis, double ratio, int freeCount) {
		this.clock = clock;
		this.windowMillis = windowMillis;
		this.ratio = ratio;
		this.freeCount = freeCount;
	}

	/**
	 * Notes a caller's request.
	 * @param service service that it is for
	 */
	public synchronized void onRequest(String service) {
		usage(service).requests.addLast(this.clock.nowMillis());
	}

	/**
	 * Spends one retry.
	 * @param service service that it is for
	 * @return whether it is allowed
	 */
	public synchronized boolean tryRetry(String service) {
		Usage usage = usage(service);
		double allowed = this.freeCount + USABLE_FRACTION * this.ratio * usage.requests.size();
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
