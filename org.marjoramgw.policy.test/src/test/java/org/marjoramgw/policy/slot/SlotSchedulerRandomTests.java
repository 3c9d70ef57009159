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
import org.marjoramgw.policy.queue.Waiting;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Drives {@link SlotScheduler} with random sequences against plain bookkeeping.
 *
 * @author The marjoramgw authors
 */
public class SlotSchedulerRandomTests {

	private static final int CASES = 40;

	private static final int STEPS = 1_500;

	private static final double TIME_CONSTANT_MILLIS = 10_000;

	private static final double SERVED_FILL = 1.1;

	private static final double MAX_FILL = 1.4;

	private static final double TOLERANCE = 1.05;

	private final Map<String, RequestClass> classes = PolicyConfiguration.of("tiers").classes();

	private final List<String> names = List.copyOf(this.classes.keySet());

	private final Map<RequestKey, Waiting> waiting = new LinkedHashMap<>();

	private final Map<RequestKey, Waiting> holding = new LinkedHashMap<>();

	private final Map<String, Double> usedByClass = new HashMap<>();

	private double totalUsed;

	private SlotScheduler scheduler;

	private Random random;

	private String context;

	private long nowMillis;

	private int nextId;

	@Test
	public void keepsItsPromisesInRandomSequences() {
		for (int number = 0; number < CASES; number++) {
			start(number);
			for (int step = 0; step < STEPS; step++) {
				this.context = "seed " + TestSeed.value() + " case " + number + " step " + step;
				advance(this.random.nextInt(60));
				act();
				drain();
				Assert.assertEquals(this.scheduler.taken(), this.holding.size(), this.context);
				Assert.assertEquals(this.scheduler.queues().size(), this.waiting.size(), this.context);
			}
		}
	}

	private void start(int number) {
		this.random = TestSeed.random(number);
		this.nowMillis = 1_000;
		this.scheduler = new SlotScheduler(true, 1, this.nowMillis);
		this.scheduler.configure(PolicyConfiguration.of("tiers"));
		this.waiting.clear();
		this.holding.clear();
		this.usedByClass.clear();
		this.totalUsed = 0;
	}

	private void act() {
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
		Waiting request = this.scheduler.arrival(key, requestClass, this.random.nextBoolean() ? "large" : "small",
				this.random.nextInt(5_000), this.nowMillis);
		Admission admission = this.scheduler.offer(request, this.nowMillis);
		if (admission.isAccepted()) {
			this.waiting.put(key, request);
		}
		else if (admission.refusal() == ResultCode.QUEUE_FULL) {
			long own = this.waiting.values()
				.stream()
				.filter((other) -> other.requestClass().equals(requestClass.name()))
				.count();
			Assert.assertTrue(own >= PolicyConfiguration.QUEUE_BOUND, this.context + ": refused with room left");
		}
		else {
			Assert.assertTrue(countAtOrAbove(requestClass.tier()) >= this.scheduler.slotLimit(),
					this.context + ": refused for lower-tier load");
		}
	}

	private long countAtOrAbove(int tier) {
		List<Waiting> all = new ArrayList<>(this.waiting.values());
		all.addAll(this.holding.values());
		return all.stream().filter((request) -> request.tier() <= tier).count();
	}

	private void finish() {
		pick(this.holding).ifPresent((request) -> {
			this.holding.remove(request.key());
			this.scheduler.completed(request.requestClass(), 100 + this.random.nextInt(2_000));
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
		for (Waiting request : this.scheduler.expired(this.nowMillis)) {
			Assert.assertTrue(request.startByMillis() < this.nowMillis && !request.resumed(), this.context);
			this.waiting.remove(request.key());
			this.scheduler.withdraw(request.key());
		}
	}

	private void drain() {
		Optional<Waiting> next = this.scheduler.next(this.nowMillis);
		while (next.isPresent()) {
			checkGrant(next.get());
			take(next.get());
			next = this.scheduler.next(this.nowMillis);
		}
		if (this.waiting.isEmpty() && this.holding.size() < this.scheduler.slotLimit()) {
			capAt(SERVED_FILL);
		}
		Optional<Swap> swap = this.scheduler.preempt(this.nowMillis);
		while (swap.isPresent()) {
			checkSwap(swap.get());
			swap = this.scheduler.preempt(this.nowMillis);
		}
	}

	private void checkGrant(Waiting granted) {
		Assert.assertTrue(this.holding.size() < this.scheduler.slotLimit(), this.context + ": over the limit");
		int bestTier = this.waiting.values().stream().mapToInt(Waiting::tier).min().orElseThrow();
		if (granted.tier() > bestTier) {
			Assert.assertTrue(fillOf(granted.requestClass()) < SERVED_FILL * TOLERANCE,
					this.context + ": " + granted + " passed a higher tier above its floor");
		}
	}

	private void checkSwap(Swap swap) {
		Waiting victim = this.holding.remove(swap.preempted());
		Waiting granted = swap.granted();
		Assert.assertEquals(granted.tier(), 1, this.context);
		Assert.assertTrue(victim.tier() > granted.tier(), this.context + ": preempted " + victim);
		long minWaitMillis = (granted.targetByMillis() - granted.arrivedMillis()) / 4;
		Assert.assertTrue(this.nowMillis - granted.arrivedMillis() >= minWaitMillis, this.context);
		this.waiting.put(victim.key(), victim.preempted());
		take(granted);
	}

	private void take(Waiting request) {
		Assert.assertNotNull(this.waiting.remove(request.key()), this.context);
		this.holding.put(request.key(), request);
		if (this.random.nextBoolean()) {
			this.scheduler.resumable(request.key(), this.random.nextInt(1_000), this.random.nextInt(4));
		}
	}

	private void advance(long millis) {
		this.nowMillis += millis;
		double faded = Math.exp(-millis / TIME_CONSTANT_MILLIS);
		this.usedByClass.replaceAll((name, used) -> used * faded);
		this.holding.values()
			.forEach((request) -> this.usedByClass.merge(request.requestClass(), (double) millis, Double::sum));
		this.totalUsed = this.totalUsed * faded + (double) this.holding.size() * millis;
		capAt(MAX_FILL);
	}

	private void capAt(double fill) {
		this.usedByClass.replaceAll((name, used) -> Math.min(used, this.totalUsed * floorOf(name) * fill));
	}

	private double fillOf(String requestClass) {
		double used = this.usedByClass.getOrDefault(requestClass, 0.0);
		return (this.totalUsed > 0) ? used / this.totalUsed / floorOf(requestClass) : 0;
	}

	private double floorOf(String requestClass) {
		return this.classes.get(requestClass).floorPercent() / 100.0;
	}

	private Optional<Waiting> pick(Map<RequestKey, Waiting> from) {
		List<Waiting> all = List.copyOf(from.values());
		return all.isEmpty() ? Optional.empty() : Optional.of(all.get(this.random.nextInt(all.size())));
	}

}
