package org.marjoramgw.policy.partition;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.marjoramgw.policy.candidate.RendezvousHash;
import org.marjoramgw.policy.placement.ServerView;

/**
 * Partition of the servers of one service, adapted to its traffic. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class ServicePartition {

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

	private final Map<String, KindTraffic> trafficByKind = new HashMap<>();

	private Set<String> longKinds = Set.of();

	private int longServerCount;

	private int serverCount;

	private long updatedMillis = Long.MIN_VALUE / 2;

	/**
	 * Copies the partition.
	 * @return a partition with the same state that changes independently
	 */
	ServicePartition copy() {
		ServicePartition copy = new ServicePartition();
		this.trafficByKind.forEach((kind, traffic) -> copy.trafficByKind.put(kind, traffic.copy()));
		copy.longKinds = this.longKinds;
		copy.longServerCount = this.longServerCount;
		copy.serverCount = this.serverCount;
		copy.updatedMillis = this.updatedMillis;
		return copy;
	}

	/**
	 * Returns the traffic of a kind of request.
	 * @param name name of the kind
	 * @param nowMillis current time of a monotonic clock, in milliseconds
	 * @return the traffic, new if there was none
	 */
	KindTraffic kind(String name, long nowMillis) {
		return this.trafficByKind.computeIfAbsent(name, (key) -> new KindTraffic(nowMillis));
	}

	/**
	 * Selects the servers for a kind of request.
	 * @param kind name of the kind
	 * @param servers all usable servers, at least two
	 * @param nowMillis current time, in milliseconds
	 * @return the servers of its part, or all if the service isn't divided
	 */
	List<ServerView> select(String kind, List<ServerView> servers, long nowMillis) {
		update(servers.size(), nowMillis);
		if (this.longKinds.isEmpty()) {
			return servers;
		}
		List<ServerView> ranked = servers.stream()
			.map((server) -> new Ranked(server, RendezvousHash.score(RANKING_KEY, server.id())))
			.sorted(Comparator.comparingLong(Ranked::score).thenComparing((rank) -> rank.server().id()))
			.map(Ranked::server)
			.toList();
		return this.longKinds.contains(kind) ? ranked.subList(0, this.longServerCount)
				: ranked.subList(this.longServerCount, ranked.size());
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

	private record Ranked(ServerView server, long score) {
	}

}
