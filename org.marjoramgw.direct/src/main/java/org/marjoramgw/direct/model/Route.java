package org.marjoramgw.direct.model;

import java.util.List;
import java.util.OptionalLong;

import org.marjoramgw.policy.waiting.RequestTime;

/**
 * Routing rule for the requests of one host and path prefix.
 *
 * @param name name of the route
 * @param host host name of the requests, in lower case
 * @param pathPrefix prefix of the request paths, with a leading and a trailing slash
 * @param kind kind of the requests
 * @param resumable whether a stream may be resumed on another backend server
 * @param anonymous whether requests are admitted without a key
 * @param timeoutMillis timeout of a request, in milliseconds
 * @param targetLatencyMillis latency target of a response, in milliseconds
 * @param patienceMillis time after which callers leave unless the response has begun, in
 * milliseconds; {@link Long#MAX_VALUE} if they wait until their deadline
 * @param targetPauseMillis longest pause between events for which a stream is in time, in
 * milliseconds; 0 if none is set
 * @param priority priority of the requests; 0 is the most urgent
 * @param maxAttempts maximum number of backend servers that may run one request
 * @param services weighted services, at least one
 * @author The marjoramgw authors
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, boolean resumable, boolean anonymous,
		long timeoutMillis, long targetLatencyMillis, long patienceMillis, long targetPauseMillis, int priority,
		int maxAttempts, List<WeightedService> services) {

	/**
	 * Tells whether a request may run more than once.
	 * @return whether it is idempotent or a resumable stream
	 */
	public boolean isRepeatable() {
		return this.kind == RequestKind.IDEMPOTENT || isStreaming() && this.resumable;
	}

	/**
	 * Tells whether requests are answered by an event stream.
	 * @return whether they are
	 */
	public boolean isStreaming() {
		return this.kind == RequestKind.STREAMING;
	}

	/**
	 * Returns the time of a request whose response has not begun.
	 * @param deadlineMillis time that the caller waits in milliseconds, or empty
	 * @return the time until its answer and its last send
	 */
	public RequestTime requestTime(OptionalLong deadlineMillis) {
		return answerTime(deadlineMillis).withPatience(this.patienceMillis, this.targetLatencyMillis);
	}

	/**
	 * Returns the time of a request whose response has begun.
	 * @param deadlineMillis time that the caller waits in milliseconds, or empty
	 * @return the time until its answer
	 */
	public RequestTime answerTime(OptionalLong deadlineMillis) {
		return RequestTime.of(OptionalLong.of(this.timeoutMillis), deadlineMillis);
	}

	/**
	 * Tells whether the route forwards requests to a service.
	 * @param service name of the service
	 * @return whether the service is one of the route's
	 */
	public boolean hasService(String service) {
		return this.services.stream().anyMatch((share) -> share.name().equals(service));
	}

	/**
	 * Returns the longest pause between events for which a stream is in time.
	 * @return time in milliseconds, {@link Long#MAX_VALUE} if none is set
	 */
	public long maxPauseMillis() {
		return (this.targetPauseMillis > 0) ? this.targetPauseMillis : Long.MAX_VALUE;
	}

	/**
	 * Selects a service in proportion to the weights.
	 * @param draw random number from 0 (inclusive) to 1 (exclusive)
	 * @return name of the service
	 */
	public String selectService(double draw) {
		double total = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double rest = draw * total;
		for (WeightedService service : this.services) {
			rest -= service.weight();
			if (rest < 0) {
				return service.name();
			}
		}
		return this.services.get(this.services.size() - 1).name();
	}

}
