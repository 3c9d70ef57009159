package org.marjoramgw.policy.slot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.marjoramgw.ResultCode;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Checks {@link SlotScheduler} on random sequences against a simple model of its state.
 *
 * @author The marjoramgw authors
 */
public class SlotSchedulerRandomTests {

	private static final int CASES = 40;

	private static final int STEPS = 1_500;

	/** Sliding window in which each class gets its floor. */
	private static final long WINDOW_MILLIS = 5_000;

	private static final double SATISFIED_RATIO = 1.25;

	/** Weight of a new sample in the mean time that slots are held. */
	private static final double SMOOTHING_FACTOR = 0.1;

	/** Minimum remaining time of a held slot, as a fraction of the mean. */
	private static final double MIN_REMAINING_FRACTION = 0.1;

	private final Map<String, RequestClass> classes = TestConfiguration.of("tiers").classes();

	private final List<String> names = List.copyOf(this.classes.keySet());

	private final Map<RequestKey, WaitingRequest> waiting = new LinkedHashMap<>();

	private final Map<RequestKey, WaitingRequest> holding = new LinkedHashMap<>();

	private final Map<RequestKey, Long> takenMillis = new HashMap<>();

	private final Map<String, Double> meanHeldMillis = new HashMap<>();

	private final List<HeldInterval> heldIntervals = new ArrayList<>();

	private SlotScheduler scheduler;

	private Random random;

	private String context;

	private long nowMillis;

	private int nextId;

	@Test
	public void keepsItsInvariantsInRandomSequences() {
		for (int number = 0; number < CASES; number++) {
			start(number);
			for (int step = 0; step < STEPS; step++) {
				this.context = "seed " + TestSeed.value() + " case " + number + " step " + step;
				advance(this.random.nextInt(60));
				runRandomAction();
				grantAll();
				Assert.assertEquals(this.scheduler.takenSlots(), this.holding.size(), this.context);
				Assert.assertEquals(this.scheduler.queues().size(), this.waiting.size(), this.context);
			}
		}
	}

	private void start(int number) {
		this.random = TestSeed.random(number);
		this.nowMillis = 1_000;
		this.scheduler = new SlotScheduler(true, 1, this.nowMillis);
		this.scheduler.configure(TestConfiguration.of("tiers"));
		this.waiting.clear();
		this.holding.clear();
		this.takenMillis.clear();
		this.meanHeldMillis.clear();
		this.heldIntervals.clear();
	}

	private void runRandomAction() {
		int choice = this.random.nextInt(10);
		if (choice < 6) {
			arrive();
		}
		else if (choice < 8) {
			finish();
		}
		else if (choice < 9) {
			withdraw();
		}
		else {
			expire();
		}
	}

	private void arrive() {
		RequestClass requestClass = this.classes.get(this.names.get(this.random.nextInt(this.names.size())));
		RequestKey key = new RequestKey("entry", 1, "r" + this.nextId++, 1);
		WaitingRequest request = this.scheduler.newRequest(key, requestClass,
				this.random.nextBoolean() ? "large" : "small", this.random.nextInt(5_000), this.nowMillis);
		Admission admission = this.scheduler.offer(request, this.nowMillis);
		if (admission.isAccepted()) {
			this.waiting.put(key, request);
		}
		else if (admission.refusal() == ResultCode.QUEUE_FULL) {
			long own = this.waiting.values()
				.stream()
				.filter((other) -> other.requestClass().equals(requestClass.name()))
				.count();
			Assert.assertTrue(own >= TestConfiguration.QUEUE_BOUND, this.context + ": refused with room left");
		}
		else {
			Assert.assertTrue(countAtOrAbove(requestClass.tier()) >= this.scheduler.slotLimit(),
					this.context + ": refused for lower-tier load");
		}
	}

	private long countAtOrAbove(int tier) {
		List<WaitingRequest> all = new ArrayList<>(this.waiting.values());
		all.addAll(this.holding.values());
		return all.stream().filter((request) -> request.tier() <= tier).count();
	}

	private void finish() {
		pick(this.holding).ifPresent((request) -> {
			this.holding.remove(request.key());
			recordHeldTime(request);
			this.scheduler.recordSlotTime(request.requestClass(), 100 + this.random.nextInt(2_000));
			this.scheduler.free(request.key(), this.nowMillis);
		});
	}

	private void withdraw() {
		pick(this.waiting).ifPresent((request) -> {
			this.waiting.remove(request.key());
			Assert.assertTrue(this.scheduler.withdraw(request.key()), this.context);
		});
	}

	private void expire() {
		for (WaitingRequest request : this.scheduler.expired(this.nowMillis)) {
			Assert.assertTrue(request.startByMillis() < this.nowMillis && !request.resumed(), this.context);
			this.waiting.remove(request.key());
			this.scheduler.withdraw(request.key());
		}
	}

	private void grantAll() {
		Optional<WaitingRequest> next = this.scheduler.grantNext(this.nowMillis);
		while (next.isPresent()) {
			checkGrant(next.get());
			take(next.get());
			next = this.scheduler.grantNext(this.nowMillis);
		}
		if (this.waiting.isEmpty() && this.holding.size() < this.scheduler.slotLimit()) {
			this.heldIntervals.clear();
		}
		Optional<Preemption> preemption = this.scheduler.preempt(this.nowMillis);
		while (preemption.isPresent()) {
			checkPreemption(preemption.get());
			preemption = this.scheduler.preempt(this.nowMillis);
		}
	}

	private void checkGrant(WaitingRequest granted) {
		Assert.assertTrue(this.holding.size() < this.scheduler.slotLimit(), this.context + ": over the limit");
		int bestTier = this.waiting.values().stream().mapToInt(WaitingRequest::tier).min().orElseThrow();
		if (granted.tier() > bestTier) {
			Assert.assertTrue(isBelowFloor(granted.requestClass()),
					this.context + ": " + granted + " passed a higher tier above its floor");
		}
	}

	private void checkPreemption(Preemption preemption) {
		WaitingRequest victim = this.holding.remove(preemption.preempted());
		recordHeldTime(victim);
		WaitingRequest granted = preemption.granted();
		Assert.assertEquals(granted.tier(), 1, this.context);
		Assert.assertTrue(victim.tier() > granted.tier(), this.context + ": preempted " + victim);
		long minWaitMillis = (granted.targetStartMillis() - granted.arrivedMillis()) / 4;
		Assert.assertTrue(this.nowMillis - granted.arrivedMillis() >= minWaitMillis, this.context);
		this.waiting.put(victim.key(), victim.asPreempted());
		take(granted);
	}

	private void take(WaitingRequest request) {
		Assert.assertNotNull(this.waiting.remove(request.key()), this.context);
		this.holding.put(request.key(), request);
		this.takenMillis.put(request.key(), this.nowMillis);
		if (this.random.nextBoolean()) {
			this.scheduler.markResumable(request.key(), this.random.nextInt(1_000), this.random.nextInt(4));
		}
	}

	private void recordHeldTime(WaitingRequest request) {
		double heldMillis = this.nowMillis - this.takenMillis.remove(request.key());
		this.meanHeldMillis.merge(request.requestClass(), heldMillis,
				(mean, sample) -> mean + SMOOTHING_FACTOR * (sample - mean));
	}

	private void advance(long millis) {
		for (WaitingRequest request : this.holding.values()) {
			this.heldIntervals.add(new HeldInterval(request.requestClass(), this.nowMillis, this.nowMillis + millis));
		}
		this.nowMillis += millis;
	}

	/**
	 * Returns whether a class holds fewer slots than its floor and, without another slot
	 * now, would be below its floor of slot-time when the next slot is free.
	 */
	private boolean isBelowFloor(String requestClass) {
		long held = this.holding.values().stream().filter((one) -> one.requestClass().equals(requestClass)).count();
		if (held >= Math.max(floorOf(requestClass) * this.scheduler.slotLimit(), 1)) {
			return false;
		}
		long nextFreeInMillis = nextFreeInMillis();
		long fromMillis = this.nowMillis + nextFreeInMillis - WINDOW_MILLIS;
		long all = this.heldIntervals.stream().mapToLong((interval) -> interval.millisSince(fromMillis)).sum()
				+ this.holding.size() * nextFreeInMillis;
		long own = this.heldIntervals.stream()
			.filter((interval) -> interval.requestClass().equals(requestClass))
			.mapToLong((interval) -> interval.millisSince(fromMillis))
			.sum();
		return own < all * floorOf(requestClass) * SATISFIED_RATIO;
	}

	private long nextFreeInMillis() {
		if (this.scheduler.slotLimit() - this.holding.size() > 1) {
			return 0;
		}
		double least = Double.MAX_VALUE;
		for (WaitingRequest request : this.holding.values()) {
			double mean = this.meanHeldMillis.getOrDefault(request.requestClass(), 0.0);
			double remaining = mean - (this.nowMillis - this.takenMillis.get(request.key()));
			least = Math.min(least, Math.max(remaining, mean * MIN_REMAINING_FRACTION));
		}
		return (long) least;
	}

	private double floorOf(String requestClass) {
		return this.classes.get(requestClass).floorPercent() / 100.0;
	}

	private Optional<WaitingRequest> pick(Map<RequestKey, WaitingRequest> from) {
		List<WaitingRequest> all = List.copyOf(from.values());
		return all.isEmpty() ? Optional.empty() : Optional.of(all.get(this.random.nextInt(all.size())));
	}

	/**
	 * Interval in which a slot was held.
	 *
	 * @param requestClass name of the class
	 * @param fromMillis start of the interval, in milliseconds
	 * @param toMillis end of the interval, in milliseconds
	 */
	private record HeldInterval(String requestClass, long fromMillis, long toMillis) {

		long millisSince(long startMillis) {
			return Math.max(this.toMillis - Math.max(this.fromMillis, startMillis), 0);
		}

	}

}
