package org.marjoramgw.policy.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Recent slot-time of the client accounts in each tier, divided by their weights.
 * <p>
 * Usage decays exponentially, so that an account that was idle gets a bounded advantage
 * and can't accumulate a right to all slots.
 *
 * @author The marjoramgw authors
 */
public final class AccountUsage {

	private static final long TIME_CONSTANT_MILLIS = 10_000;

	private final Map<TierAccount, DecayingSum> usage = new HashMap<>();

	private Map<String, Integer> weights = Map.of();

	/**
	 * Sets the weights and discards the usage of accounts without one.
	 * @param weightByAccount weight of each account; an unknown account has weight 1
	 */
	public void setWeights(Map<String, Integer> weightByAccount) {
		this.weights = Map.copyOf(weightByAccount);
		this.usage.keySet().removeIf((key) -> !this.weights.containsKey(key.account()));
	}

	/**
	 * Charges slot-time to an account.
	 * @param tier service tier
	 * @param account name of the account
	 * @param slotMillis slot-time in milliseconds; negative to correct an estimate
	 * @param nowMillis current time, in milliseconds
	 */
	public void charge(int tier, String account, double slotMillis, long nowMillis) {
		int weight = Math.max(this.weights.getOrDefault(account, 1), 1);
		this.usage
			.computeIfAbsent(new TierAccount(tier, account), (key) -> new DecayingSum(TIME_CONSTANT_MILLIS, nowMillis))
			.add(slotMillis / weight, nowMillis);
	}

	/**
	 * Returns the recent weighted usage of an account.
	 * @param tier service tier
	 * @param account name of the account
	 * @param nowMillis current time, in milliseconds
	 * @return decayed slot-time for each unit of weight, in milliseconds
	 */
	public double weightedMillis(int tier, String account, long nowMillis) {
		DecayingSum sum = this.usage.get(new TierAccount(tier, account));
		return (sum != null) ? sum.valueAt(nowMillis) : 0;
	}

	private record TierAccount(int tier, String account) {
	}

}
