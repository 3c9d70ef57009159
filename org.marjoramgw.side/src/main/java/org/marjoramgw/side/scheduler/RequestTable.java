package org.marjoramgw.side.scheduler;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;

/**
 * Requests that this side process holds, with tombstones of removed ones.
 *
 * @author The marjoramgw authors
 */
final class RequestTable {

	private static final int MAX_TOMBSTONES = 8_192;

	private final Map<RequestKey, ScheduledRequest> requests = new LinkedHashMap<>();

	private final Tombstones tombstones = new Tombstones(MAX_TOMBSTONES);

	void add(ScheduledRequest request) {
		this.tombstones.remove(request.key());
		this.requests.put(request.key(), request);
	}

	ScheduledRequest get(RequestKey key) {
		return this.requests.get(key);
	}

	/**
	 * Removes a request, discards its buffered response and leaves a tombstone.
	 * @param request the request
	 * @param code result code that answers later messages about the request
	 */
	void remove(ScheduledRequest request, ResultCode code) {
		if (this.requests.remove(request.key()) != null) {
			request.response().clear();
			this.tombstones.put(request.key(), code);
		}
	}

	Tombstones tombstones() {
		return this.tombstones;
	}

	Collection<ScheduledRequest> all() {
		return this.requests.values();
	}

	List<ScheduledRequest> matching(Predicate<ScheduledRequest> predicate) {
		return this.requests.values().stream().filter(predicate).toList();
	}

	/**
	 * Returns the connections with unfinished requests.
	 * @return the connections
	 */
	Set<EntryLink> linksWithOpenRequests() {
		Set<EntryLink> links = new HashSet<>();
		for (ScheduledRequest request : this.requests.values()) {
			if (request.link() != null && request.state() != RequestState.DONE) {
				links.add(request.link());
			}
		}
		return links;
	}

	int count(Predicate<ScheduledRequest> predicate) {
		return (int) this.requests.values().stream().filter(predicate).count();
	}

}
