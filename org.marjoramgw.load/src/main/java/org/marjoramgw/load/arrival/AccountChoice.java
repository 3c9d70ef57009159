package org.marjoramgw.load.arrival;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Random choice of a client account, in proportion to the weights.
 *
 * @author The marjoramgw authors
 */
final class AccountChoice {

	private final TreeMap<Integer, String> accounts = new TreeMap<>();

	private int total;

	AccountChoice(Map<String, Integer> weights) {
		weights.forEach((account, weight) -> {
			this.accounts.put(this.total, account);
			this.total += weight;
		});
	}

	String draw(Random random) {
		return this.accounts.floorEntry(random.nextInt(this.total)).getValue();
	}

}
