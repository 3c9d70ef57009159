package org.marjoramgw.load.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.marjoramgw.policy.candidate.Subset;

/**
 * Computes the connections between entries and side processes that {@link Subset} chooses
 * for fleets of different sizes: the number of peers of a process, and the number of hops
 * that a change takes to reach all processes.
 *
 * @author The marjoramgw authors
 */
final class SubsetMeasurement implements Measurement {

	private static final int[] ENTRY_COUNTS = { 40, 80, 160, 320 };

	private static final int SIDES_PER_ENTRY_PERCENT = 209;

	private static final int FAILURE_DOMAIN_COUNT = 7;

	private static final int SUBSET_COUNT = 24;

	private static final int SAMPLED_ENTRY_COUNT = 10;

	@Override
	public String title() {
		return "Subsets of 24 in one pool over 7 failure domains (computed with the product's choice, not run)";
	}

	@Override
	public String measure() {
		PointTable table = new PointTable("entries", "side processes", "peers of an entry, most",
				"peers of a side process, least", "mean", "most", "hops to reach all, most");
		for (int entries : ENTRY_COUNTS) {
			table.add(measureRow(entries, entries * SIDES_PER_ENTRY_PERCENT / 100));
		}
		return table.toString();
	}

	private static double[] measureRow(int entries, int sides) {
		Map<String, String> domainBySide = new HashMap<>();
		Map<String, Set<String>> peers = new HashMap<>();
		for (int index = 0; index < sides; index++) {
			domainBySide.put("side-" + index, failureDomainOf(index));
			peers.put("side-" + index, new HashSet<>());
		}
		List<String> entryIds = IntStream.range(0, entries).mapToObj((index) -> "entry-" + index).toList();
		int maxEntryPeers = 0;
		for (int index = 0; index < entries; index++) {
			String entry = "entry-" + index;
			Set<String> subset = Subset.choose(entry, failureDomainOf(index), entryIds, domainBySide, SUBSET_COUNT);
			peers.put(entry, subset);
			subset.forEach((side) -> peers.get(side).add(entry));
			maxEntryPeers = Math.max(maxEntryPeers, subset.size());
		}
		int[] degrees = domainBySide.keySet().stream().mapToInt((side) -> peers.get(side).size()).sorted().toArray();
		double mean = (double) entries * SUBSET_COUNT / sides;
		return new double[] { entries, sides, maxEntryPeers, degrees[0], mean, degrees[degrees.length - 1],
				maxHops(peers) };
	}

	private static int maxHops(Map<String, Set<String>> peers) {
		int max = 0;
		for (int index = 0; index < SAMPLED_ENTRY_COUNT; index++) {
			max = Math.max(max, eccentricity("entry-" + index, peers));
		}
		return max;
	}

	private static int eccentricity(String start, Map<String, Set<String>> peers) {
		Map<String, Integer> hopsTo = new HashMap<>(Map.of(start, 0));
		Deque<String> queue = new ArrayDeque<>(Set.of(start));
		int max = 0;
		while (!queue.isEmpty()) {
			String process = queue.removeFirst();
			max = Math.max(max, hopsTo.get(process));
			for (String peer : peers.get(process)) {
				if (hopsTo.putIfAbsent(peer, hopsTo.get(process) + 1) == null) {
					queue.addLast(peer);
				}
			}
		}
		return (hopsTo.size() == peers.size()) ? max : Integer.MAX_VALUE;
	}

	private static String failureDomainOf(int index) {
		return "domain-" + index % FAILURE_DOMAIN_COUNT;
	}

}
