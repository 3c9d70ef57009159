package org.marjoramgw.policy.partition;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.candidate.RendezvousHash;
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

	/** Ratio of mean prompt lengths from which on a kind counts as long. */
	private static final double LONG_RATIO = 4;

	/** Distance from the ideal boundary up to which it stays, in servers. */
	private static final double BOUNDARY_HYSTERESIS = 0.75;

	/**
	 * Weight of the prompt tokens in the division of the servers; the rest is that of the
	 * open requests, which occupy slots and memory.
	 */
	private static final double TOKEN_WEIGHT = 0.7;

	private static final long UPDATE_INTERVAL_MILLIS = 250;

	private static final long FORGET_KIND_MILLIS = 60_000;

	private static final String RANKING_KEY = "long-prompts";

	private final MillisClock clock;

	private final Map<String, ServiceState> stateByService = new HashMap<>();

	/**
	 * Creates a partition without any traffic.
	 * @param clock monotonic clock
	 */
	public PromptPartition(MillisClock clock) {
		this.clock = clock;
	}

	/**
	 * Records a request with a prompt.
	 * @param service name of the service
	 * @param kind kind of the request
	 * @param promptTokenCount length of its prompt
	 * @param maxPauseMillis longest pause between events for which its stream is in time,
	 * in milliseconds; 0 if none is set
	 */
	public synchronized void onRequest(String service, String kind, long promptTokenCount, long maxPauseMillis) {
		long nowMillis = this.clock.nowMillis();
		state(service).kind(kind, nowMillis)
			.onRequest(promptTokenCount, (maxPauseMillis > 0) ? maxPauseMillis : Long.MAX_VALUE, nowMillis);
	}

	/**
	 * Records a stream that a server sent.
	 * @param service name of the service
	 * @param kind kind of the request
	 */
	public synchronized void onStream(String service, String kind) {
		long nowMillis = this.clock.nowMillis();
		state(service).kind(kind, nowMillis).onStream(nowMillis);
	}

	/**
	 * Records a pause between events that is longer than allowed, once for each stream.
	 * @param service name of the service
	 * @param kind kind of the request
	 */
	public synchronized void onLatePause(String service, String kind) {
		long nowMillis = this.clock.nowMillis();
		state(service).kind(kind, nowMillis).onLatePause(nowMillis);
	}

	/**
	 * Records the end of a request, once for each call of {@link #onRequest}.
	 * @param service name of the service
	 * @param kind kind of the request
	 */
	public synchronized void onEnd(String service, String kind) {
		state(service).kind(kind, this.clock.nowMillis()).onEnd();
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
		ServiceState state = this.stateByService.get(service);
		if (state == null || servers.size() < 2) {
			return servers;
		}
		state.update(servers.size(), this.clock.nowMillis());
		if (state.longKinds.isEmpty()) {
			return servers;
		}
		List<ServerView> ranked = servers.stream()
			.map((server) -> new Ranked(server, RendezvousHash.score(RANKING_KEY, server.id())))
			.sorted(Comparator.comparingLong(Ranked::score).thenComparing((rank) -> rank.server().id()))
			.map(Ranked::server)
			.toList();
		List<ServerView> part = state.longKinds.contains(kind) ? ranked.subList(0, state.longServerCount)
				: ranked.subList(state.longServerCount, ranked.size());
		return part.stream().allMatch(ServerView::suspect) ? servers : part;
	}

	private ServiceState state(String service) {
		return this.stateByService.computeIfAbsent(service, (name) -> new ServiceState());
	}

	private record Ranked(ServerView server, long score) {
	}

	private static final class ServiceState {

		private final Map<String, KindTraffic> trafficByKind = new HashMap<>();

		private Set<String> longKinds = Set.of();

		private int longServerCount;

		private int serverCount;

		private long updatedMillis = Long.MIN_VALUE / 2;

		private KindTraffic kind(String name, long nowMillis) {
			return this.trafficByKind.computeIfAbsent(name, (key) -> new KindTraffic(nowMillis));
		}

		private void update(int newServerCount, long nowMillis) {
			if (newServerCount == this.serverCount && nowMillis - this.updatedMillis < UPDATE_INTERVAL_MILLIS) {
				return;
			}
			this.updatedMillis = nowMillis;
			this.trafficByKind.values().forEach((traffic) -> traffic.accountOpenTime(nowMillis));
			this.trafficByKind.values().removeIf((traffic) -> traffic.isIdleSince(nowMillis - FORGET_KIND_MILLIS));
			Set<String> newLongKinds = findLongKinds(nowMillis);
			boolean sameParts = newLongKinds.equals(this.longKinds) && newServerCount == this.serverCount;
			double ideal = newServerCount * longShare(newLongKinds, nowMillis);
			if (!sameParts || Math.abs(ideal - this.longServerCount) > BOUNDARY_HYSTERESIS) {
				this.longServerCount = (int) Math.max(1, Math.min(newServerCount - 1, Math.round(ideal)));
			}
			this.longKinds = newLongKinds;
			this.serverCount = newServerCount;
		}

		// The kinds that harm others have much longer prompts than the harmed kind with
		// the shortest pauses, and are allowed longer pauses themselves.
		private Set<String> findLongKinds(long nowMillis) {
			Optional<KindTraffic> harmed = this.trafficByKind.values()
				.stream()
				.filter((traffic) -> traffic.isHarmed(nowMillis) && traffic.meanPromptTokens(nowMillis) > 0)
				.min(Comparator.comparingLong(KindTraffic::maxPauseMillis));
			Set<String> kinds = new HashSet<>();
			harmed.ifPresent((victim) -> this.trafficByKind.forEach((kind, traffic) -> {
				if (traffic.maxPauseMillis() > victim.maxPauseMillis()
						&& traffic.meanPromptTokens(nowMillis) >= LONG_RATIO * victim.meanPromptTokens(nowMillis)) {
					kinds.add(kind);
				}
			}));
			return kinds;
		}

		private double longShare(Set<String> kinds, long nowMillis) {
			double longTokens = 0;
			double shortTokens = 0;
			double longOpenMillis = 0;
			double shortOpenMillis = 0;
			for (Map.Entry<String, KindTraffic> entry : this.trafficByKind.entrySet()) {
				KindTraffic traffic = entry.getValue();
				if (kinds.contains(entry.getKey())) {
					longTokens += traffic.promptTokens(nowMillis);
					longOpenMillis += traffic.openMillis(nowMillis);
				}
				else {
					shortTokens += traffic.promptTokens(nowMillis);
					shortOpenMillis += traffic.openMillis(nowMillis);
				}
			}
			return TOKEN_WEIGHT * share(Math.sqrt(longTokens), Math.sqrt(shortTokens))
					+ (1 - TOKEN_WEIGHT) * share(longOpenMillis, shortOpenMillis);
		}

		private static double share(double part, double rest) {
			return (part + rest > 0) ? part / (part + rest) : 0.5;
		}

	}

}
