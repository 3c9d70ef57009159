package org.marjoramgw.direct.forward;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.marjoramgw.direct.caller.CallerRequest;
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

	private PromptRecord(PromptPartition partition, String service, Route route) {
		this.partition = partition;
		this.service = service;
		this.route = route;
	}

	/**
	 * Creates the record of a request that starts now.
	 * @param partition the partition
	 * @param service service that the request is sent to
	 * @param route route of the request
	 * @param caller the request, which is recorded only if it has a prompt
	 * @return the record
	 */
	static PromptRecord start(PromptPartition partition, String service, Route route, CallerRequest caller) {
		PromptRecord started = new PromptRecord(partition, service, route);
		if (route.isStreaming() && caller.hasPrompt()) {
			started.open = true;
			partition.onRequest(service, route.name(), caller.promptTokenCount(), route.maxPauseMillis());
		}
		return started;
	}

	/**
	 * Creates the meter of a stream, which records its first late pause.
	 * @param nowMillis current time of a monotonic clock, in milliseconds
	 * @param onPause called with each pause, in milliseconds
	 * @return the meter
	 */
	PauseMeter pauseMeter(LongSupplier nowMillis, LongConsumer onPause) {
		return new PauseMeter(nowMillis, this.route.maxPauseMillis(),
				() -> this.partition.onLatePause(this.service, this.route.name()), onPause);
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
