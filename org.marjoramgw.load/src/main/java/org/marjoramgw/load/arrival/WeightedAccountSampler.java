package org.marjoramgw.load.arrival;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Samples client accounts with probabilities proportional to their weights.
 *
 * @author The marjoramgw authors
 */
final class WeightedAccountSampler {

	private final TreeMap<Integer, String> accountsByCumulativeWeight = new TreeMap<>();

	private int totalWeight;

	WeightedAccountSampler(Map<String, Integer> weights) {
		weights.forEach((account, weight) -> {
			this.accountsByCumulativeWeight.put(this.totalWeight, account);
			this.totalWeight += weight;
		});
	}

	String sample(Random random) {
		return this.accountsByCumulativeWeight.floorEntry(random.nextInt(this.totalWeight)).getValue();
	}

}
