package org.marjoramgw.policy.queue;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queues of waiting requests, one for each class with a bound of its own.
 * <p>
 * Since the bounds are separate, a request is never refused because another class fills
 * its queue. Preempted requests are added regardless of the bound, since they have been
 * accepted before.
 *
 * @author The marjoramgw authors
 */
public final class ClassQueues {

	private final Map<RequestKey, WaitingRequest> waiting = new LinkedHashMap<>();

	private final Map<String, Integer> countByClass = new HashMap<>();

	/**
	 * Adds a request.
	 * @param request the request
	 * @param bound bound of its class, in requests
	 * @return whether the request waits now, {@code false} if the queue is full
	 */
	public boolean add(WaitingRequest request, int bound) {
		if (!request.resumed() && size(request.requestClass()) >= bound) {
			return false;
		}
		if (this.waiting.putIfAbsent(request.key(), request) == null) {
			this.countByClass.merge(request.requestClass(), 1, Integer::sum);
		}
		return true;
	}

	/**
	 * Removes a request.
	 * @param key identity of the attempt
	 * @return the request, or empty if it doesn't wait here
	 */
	public Optional<WaitingRequest> remove(RequestKey key) {
		WaitingRequest removed = this.waiting.remove(key);
		if (removed != null) {
			this.countByClass.merge(removed.requestClass(), -1, Integer::sum);
		}
		return Optional.ofNullable(removed);
	}

	/**
	 * Returns the requests that can no longer start usefully.
	 * @param nowMillis current time, in milliseconds
	 * @return the requests, still in the queue
	 */
	public List<WaitingRequest> expired(long nowMillis) {
		return this.waiting.values().stream().filter((request) -> request.isExpired(nowMillis)).toList();
	}

	/**
	 * Returns all waiting requests.
	 * @return an unmodifiable view, in the order of arrival here
	 */
	public Collection<WaitingRequest> all() {
		return Collections.unmodifiableCollection(this.waiting.values());
	}

	/**
	 * Returns the length of the queue of a class.
	 * @param requestClass name of the class
	 * @return number of waiting requests of the class
	 */
	public int size(String requestClass) {
		return this.countByClass.getOrDefault(requestClass, 0);
	}

	/**
	 * Returns the total length of the queues.
	 * @return number of waiting requests
	 */
	public int size() {
		return this.waiting.size();
	}

}
