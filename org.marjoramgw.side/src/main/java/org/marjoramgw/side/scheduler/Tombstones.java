package org.marjoramgw.side.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;

/**
 * Result codes of removed requests, used to answer later messages about them. The oldest
 * tombstone is evicted when the limit is exceeded.
 *
 * @author The marjoramgw authors
 */
final class Tombstones {

	private final LinkedHashMap<RequestKey, ResultCode> codes = new LinkedHashMap<>();

	private final int maxCount;

	Tombstones(int maxCount) {
		this.maxCount = maxCount;
	}

	void put(RequestKey key, ResultCode code) {
		this.codes.remove(key);
		this.codes.put(key, code);
		if (this.codes.size() > this.maxCount) {
			Map.Entry<RequestKey, ResultCode> eldest = this.codes.entrySet().iterator().next();
			this.codes.remove(eldest.getKey());
		}
	}

	Optional<ResultCode> find(RequestKey key) {
		return Optional.ofNullable(this.codes.get(key));
	}

	void remove(RequestKey key) {
		this.codes.remove(key);
	}

}
