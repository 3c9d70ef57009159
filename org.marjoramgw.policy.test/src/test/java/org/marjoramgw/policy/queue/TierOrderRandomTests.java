package org.marjoramgw.policy.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.marjoramgw.policy.share.AccountUsage;
import org.marjoramgw.policy.share.ClassFloors;
import org.marjoramgw.policy.share.SlotForecast;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Compares {@link TierOrder} and {@link AccountUsage} on random sequences with a simple
 * reference implementation that keeps every charge.
 *
 * @author The marjoramgw authors
 */
public class TierOrderRandomTests {

	private static final int CASES = 60;

	private static final int STEPS = 400;

	private static final int SLOT_LIMIT = 8;

	private static final SlotForecast SLOTS = new SlotForecast(SLOT_LIMIT, 0);

	private static final int HEADROOM = 2;

	private static final double TIME_CONSTANT_MILLIS = 10_000;

	private static final Map<String, Integer> WEIGHTS = Map.of("a", 1, "b", 2, "c", 7);

	private static final List<String> ACCOUNTS = List.of("a", "b", "c", "unknown");

	private final List<WaitingRequest> waiting = new ArrayList<>();

	private final List<Charge> charges = new ArrayList<>();

	private Random random;

	private AccountUsage usage;

	private long nowMillis;

	private int nextId;

	@Test
	public void selectsTheSameRequestAsTheReference() {
		for (int number = 0; number < CASES; number++) {
			start(number);
			TierOrder order = new TierOrder(new ClassFloors(0), this.usage, 1, HEADROOM);
			for (int step = 0; step < STEPS; step++) {
				change();
				int freeSlots = 1 + this.random.nextInt(SLOT_LIMIT);
				Optional<WaitingRequest> next = order.next(this.waiting, freeSlots, SLOTS, this.nowMillis);
				Assert.assertEquals(next, reference(freeSlots),
						"seed " + TestSeed.value() + " case " + number + " step " + step);
				next.ifPresent(this.waiting::remove);
			}
		}
	}

	private void start(int number) {
		this.random = TestSeed.random(number);
		this.usage = new AccountUsage();
		this.usage.setWeights(WEIGHTS);
		this.waiting.clear();
		this.charges.clear();
		this.nowMillis = 1_000;
	}

	private void change() {
		this.nowMillis += 1 + this.random.nextInt(300);
		for (int count = this.random.nextInt(4); count > 0; count--) {
			this.waiting.add(arrival());
		}
		if (this.random.nextBoolean()) {
			Charge charge = new Charge(1 + this.random.nextInt(4), any(ACCOUNTS), this.random.nextInt(4_000) - 500,
					this.nowMillis);
			this.charges.add(charge);
			this.usage.charge(charge.tier(), charge.account(), charge.slotMillis(), charge.atMillis());
		}
	}

	private WaitingRequest arrival() {
		int tier = 1 + this.random.nextInt(4);
		long startByMillis = this.nowMillis + this.random.nextInt(2_000) - 500;
		long targetStartMillis = startByMillis - this.random.nextInt(500);
		RequestKey key = new RequestKey("entry", 1, "r" + this.nextId++, 1);
		return new WaitingRequest(key, "class-" + tier, tier, any(ACCOUNTS), this.nowMillis, startByMillis,
				targetStartMillis, this.random.nextInt(5) == 0);
	}

	private Optional<WaitingRequest> reference(int freeSlots) {
		WaitingRequest best = null;
		for (WaitingRequest request : this.waiting) {
			if (best == null || goesBefore(request, best)) {
				best = request;
			}
		}
		boolean reserved = best != null && best.tier() > 1 && freeSlots <= HEADROOM;
		return reserved ? Optional.empty() : Optional.ofNullable(best);
	}

	private boolean goesBefore(WaitingRequest one, WaitingRequest other) {
		if (one.tier() != other.tier()) {
			return one.tier() < other.tier();
		}
		boolean oneLate = !one.resumed() && this.nowMillis > one.targetStartMillis();
		boolean otherLate = !other.resumed() && this.nowMillis > other.targetStartMillis();
		if (oneLate != otherLate) {
			return otherLate;
		}
		if (one.resumed() != other.resumed()) {
			return one.resumed();
		}
		double oneUsed = used(one);
		double otherUsed = used(other);
		if (oneUsed != otherUsed) {
			return oneUsed < otherUsed;
		}
		return (one.startByMillis() != other.startByMillis()) ? one.startByMillis() < other.startByMillis()
				: one.arrivedMillis() < other.arrivedMillis();
	}

	private double used(WaitingRequest request) {
		double sum = 0;
		for (Charge charge : this.charges) {
			if (charge.tier() == request.tier() && charge.account().equals(request.account())) {
				double decay = Math.exp((charge.atMillis() - this.nowMillis) / TIME_CONSTANT_MILLIS);
				sum += charge.slotMillis() * decay / WEIGHTS.getOrDefault(charge.account(), 1);
			}
		}
		return sum;
	}

	private <T> T any(List<T> from) {
		return from.get(this.random.nextInt(from.size()));
	}

	private record Charge(int tier, String account, double slotMillis, long atMillis) {
	}

}
