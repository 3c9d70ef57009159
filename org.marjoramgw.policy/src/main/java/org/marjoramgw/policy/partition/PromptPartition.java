package org.marjoramgw.policy.partition;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.placement.ServerView;

/**
 * Keeps long prompts on a part of the servers of a service while streams with short
 * pauses suffer from them (size-interval task assignment); thread-safe.
 * <p>
 * Answers a steady load of short urgent streams beside a few long prompts. A server that
 * prefills a long prompt delays the tokens of every stream that it runs, whatever the
 * ranks, so that few long prompts, spread over all servers, make many streams late. The
 * servers are divided only once pauses were seen to be late, and the parts follow the
 * open requests and the square roots of the prompt tokens of the last seconds; square
 * roots leave the short prompts more room than their share of the work, since pauses are
 * late long before a server is busy all the time. All processes rank the servers alike
 * and see about the same traffic, so that they agree without coordination on all but the
 * servers next to the boundary.
 *
 * @author The marjoramgw authors
 */
public final class PromptPartition {

	private final MillisClock clock;

	private final Map<String, ServicePartition> partitionByService = new HashMap<>();

	/**
	 * Creates a partition without any traffic.
	 * @param clock monotonic clock
	 */
	public PromptPartition(MillisClock clock) {
		this.clock = clock;
	}

	/**
	 * Copies the partition, so that a choice can be explained without changing this one.
	 * @return a partition with the same state that changes independently
	 */
	public synchronized PromptPartition copy() {
		PromptPartition copy = new PromptPartition(this.clock);
		this.partitionByService.forEach((service, partition) -> copy.partitionByService.put(service, partition.copy()));
		return copy;
	}

	/**
	 * Records a request with a prompt.
	 * @param service name of the service
	 * @param kind kind of the request
	 * @param promptTokenCount length of its prompt
	 * @param maxPauseMillis longest pause between events for which its stream is in time,
	 * in milliseconds; {@link Long#MAX_VALUE} if there is no limit
	 */
	public synchronized void onRequest(String service, String kind, long promptTokenCount, long maxPauseMillis) {
		long nowMillis = this.clock.nowMillis();
		partition(service).kind(kind, nowMillis).onRequest(promptTokenCount, maxPauseMillis, nowMillis);
	}

	/**
	 * Records a stream that a server sent.
	 * @param service name of the service
	 * @param kind kind of the request
	 */
	public synchronized void onStream(String service, String kind) {
		long nowMillis = this.clock.nowMillis();
		partition(service).kind(kind, nowMillis).onStream(nowMillis);
	}

	/**
	 * Records a pause between events that is longer than allowed, once for each stream.
	 * @param service name of the service
	 * @param kind kind of the request
	 */
	public synchronized void onLatePause(String service, String kind) {
		long nowMillis = this.clock.nowMillis();
		partition(service).kind(kind, nowMillis).onLatePause(nowMillis);
	}

	/**
	 * Records the end of a request, once for each call of {@link #onRequest}.
	 * @param service name of the service
	 * @param kind kind of the request
	 */
	public synchronized void onEnd(String service, String kind) {
		partition(service).kind(kind, this.clock.nowMillis()).onEnd();
	}

	/**
	 * Selects the servers on which a request may be placed.
	 * @param service name of the service
	 * @param kind kind of the request
	 * @param servers all usable servers of the service
	 * @return the servers of its part, or all if the service isn't divided or the servers
	 * of the part all failed recently
	 */
	public synchronized List<ServerView> select(String service, String kind, List<ServerView> servers) {
		ServicePartition partition = this.partitionByService.get(service);
		if (partition == null || servers.size() < 2) {
			return servers;
		}
		List<ServerView> part = partition.select(kind, servers, this.clock.nowMillis());
		return part.stream().allMatch(ServerView::suspect) ? servers : part;
	}

	private ServicePartition partition(String service) {
		return this.partitionByService.computeIfAbsent(service, (name) -> new ServicePartition());
	}

}
