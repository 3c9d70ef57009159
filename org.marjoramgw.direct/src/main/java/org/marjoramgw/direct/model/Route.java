package org.marjoramgw.direct.model;

import java.util.List;

/**
 * Rule for the requests of one host and path prefix.
 *
 * @param name name of the route
 * @param host host that requests name, in lower case
 * @param pathPrefix start of the paths, with a slash at both ends
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another backend server
 * @param anonymous whether requests need no key
 * @param timeoutMillis longest time that a request may be kept waiting, in milliseconds
 * @param targetLatencyMillis time within which an answer is on time, in milliseconds
 * @param priority rank, 0 is the most urgent
 * @param maxAttempts greatest number of backend servers that may run one request
 * @param services the services with their shares, at least one
 * @author The marjoramgw authors
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, boolean resumable, boolean anonymous,
		long timeoutMillis, long targetLatencyMillis, int priority, int maxAttempts, List<WeightedService> services) {

	/**
	 * Tells whether a request may run more than once.
	 * @return whether it is idempotent, or a stream that may be resumed
	 */
	public boolean isRepeatable() {
		return this.kind == RequestKind.IDEMPOTENT || isStreaming() && this.resumable;
	}

	/**
	 * Tells whether the answer is a stream of events.
	 * @return whether it is
	 */
	public boolean isStreaming() {
		return this.kind == RequestKind.STREAMING;
	}

	/**
	 * Tells whether the route's requests may go to a service.
	 * @param service name of the service
	 * @return whether they may
	 */
	public boolean hasService(String service) {
		return this.services.stream().anyMatch((share) -> share.name().equals(service));
	}

	/**
	 * Chooses a service by weight.
	 * @param draw a number from 0 to below 1
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
