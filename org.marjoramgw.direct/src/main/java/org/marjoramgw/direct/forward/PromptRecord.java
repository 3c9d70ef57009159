package org.marjoramgw.direct.forward;

import java.util.function.LongSupplier;

import org.marjoramgw.direct.model.Route;
import org.marjoramgw.policy.partition.PromptPartition;

/**
 * Record of one request with a prompt in the partition of the backend servers. Not
 * thread-safe; guarded by the lock of its request.
 *
 * @author The marjoramgw authors
 */
final class PromptRecord {

	private final PromptPartition partition;

	private final String service;

	private final Route route;

	private boolean open;

	/**
	 * Creates the record of a request that has not started.
	 * @param partition the partition
	 * @param service service that the request is sent to
	 * @param route route of the request
	 */
	PromptRecord(PromptPartition partition, String service, Route route) {
		this.partition = partition;
		this.service = service;
		this.route = route;
	}

	/**
	 * Records the start of the request.
	 * @param promptTokenCount length of its prompt
	 */
	void start(long promptTokenCount) {
		this.open = true;
		this.partition.onRequest(this.service, this.route.name(), promptTokenCount, this.route.maxPauseMillis());
	}

	/**
	 * Creates the meter of a stream, which records its first late pause.
	 * @param nowMillis current time of a monotonic clock, in milliseconds
	 * @return the meter
	 */
	PauseMeter pauseMeter(LongSupplier nowMillis) {
		return new PauseMeter(nowMillis, this.route.maxPauseMillis(),
				() -> this.partition.onLatePause(this.service, this.route.name()));
	}

	/**
	 * Records the end of a stream.
	 */
	void endStream() {
		this.partition.onStream(this.service, this.route.name());
	}

	/**
	 * Records the end of the request, if it was started.
	 */
	void end() {
		if (this.open) {
			this.open = false;
			this.partition.onEnd(this.service, this.route.name());
		}
	}

}
