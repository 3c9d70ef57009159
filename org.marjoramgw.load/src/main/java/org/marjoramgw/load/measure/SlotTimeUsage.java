package org.marjoramgw.load.measure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.load.driver.RequestRecord;

/**
 * Slot time that the request classes used at the engines, in total and by window.
 *
 * @author The marjoramgw authors
 */
final class SlotTimeUsage {

	private static final double PERCENT = 100;

	private final long startMillis;

	private final long windowMillis;

	private final int windowCount;

	private final Map<String, long[]> usedMillis = new HashMap<>();

	private final Map<String, long[]> openRequestMillis = new HashMap<>();

	SlotTimeUsage(long startMillis, long windowMillis, int windowCount) {
		this.startMillis = startMillis;
		this.windowMillis = windowMillis;
		this.windowCount = windowCount;
	}

	void addExecutions(List<EngineExecution> executions, Map<String, RequestRecord> requests, long nowMillis) {
		for (EngineExecution execution : executions) {
			RequestRecord request = requests.get(execution.requestId());
			if (request != null) {
				long endMillis = (execution.endedMillis() > 0) ? execution.endedMillis() : nowMillis;
				addInterval(this.usedMillis, request.requestClass(), execution.startedMillis() - this.startMillis,
						endMillis - this.startMillis);
			}
		}
	}

	void addRequest(RequestRecord request, boolean refused) {
		if (refused) {
			// A refused request is demand too; count it for one window length from its
			// arrival.
			addInterval(this.openRequestMillis, request.requestClass(), request.arrivalMillis(),
					request.arrivalMillis() + this.windowMillis);
			return;
		}
		addInterval(this.openRequestMillis, request.requestClass(), request.arrivalMillis(),
				request.arrivalMillis() + request.completionMillis());
	}

	double sharePercent(String requestClass) {
		long total = 0;
		for (int window = 0; window < this.windowCount; window++) {
			total += totalMillis(window);
		}
		long used = 0;
		for (long millis : this.usedMillis.getOrDefault(requestClass, new long[0])) {
			used += millis;
		}
		return (total > 0) ? PERCENT * used / total : 0;
	}

	double minWindowSharePercent(String requestClass, int floorPercent) {
		double minSharePercent = -1;
		for (int window = 0; window < this.windowCount; window++) {
			long total = totalMillis(window);
			long openMillis = millisInWindow(this.openRequestMillis, requestClass, window);
			boolean hadEnoughDemand = total > 0 && openMillis * PERCENT >= floorPercent * (double) total;
			if (hadEnoughDemand) {
				double sharePercent = PERCENT * millisInWindow(this.usedMillis, requestClass, window) / total;
				minSharePercent = (minSharePercent < 0) ? sharePercent : Math.min(minSharePercent, sharePercent);
			}
		}
		return minSharePercent;
	}

	private long totalMillis(int window) {
		return this.usedMillis.values().stream().mapToLong((millis) -> millis[window]).sum();
	}

	private static long millisInWindow(Map<String, long[]> millisByClass, String requestClass, int window) {
		long[] millis = millisByClass.get(requestClass);
		return (millis != null) ? millis[window] : 0;
	}

	private void addInterval(Map<String, long[]> millisByClass, String requestClass, long fromMillis, long toMillis) {
		long[] windows = millisByClass.computeIfAbsent(requestClass, (name) -> new long[this.windowCount]);
		for (int window = 0; window < this.windowCount; window++) {
			long windowStart = window * this.windowMillis;
			long overlap = Math.min(toMillis, windowStart + this.windowMillis) - Math.max(fromMillis, windowStart);
			windows[window] += Math.max(0, overlap);
		}
	}

}
