package org.marjoramgw.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link MemoryBudget}.
 *
 * @author The marjoramgw authors
 */
public class MemoryBudgetTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private long nowNanos;

	private MemoryBudget budget;

	private final AtomicInteger reclaimed = new AtomicInteger();

	@BeforeMethod
	public void createBudget() {
		this.nowNanos = 0;
		this.reclaimed.set(0);
		this.budget = new MemoryBudget(1_000, () -> this.nowNanos);
	}

	@Test
	public void memoryIsGrantedWhenOthersReleaseIt() {
		HeldMemory first = open("a");
		first.add(900);
		HeldMemory second = open("b");
		CompletableFuture<Void> granted = second.reserve(200).toCompletableFuture();
		this.budget.reclaim();
		Assert.assertFalse(granted.isDone(), "nothing is reclaimed from a caller whose turn it isn't");
		first.reduceTo(800);
		Assert.assertTrue(granted.isDone());
		Assert.assertEquals(this.budget.usedBytes(), 1_000);
		first.close();
		second.close();
		Assert.assertEquals(this.budget.usedBytes(), 0);
	}

	@Test
	public void smallAmountsAreGrantedFirst() {
		HeldMemory first = open("a");
		first.add(1_000);
		CompletableFuture<Void> large = open("b").reserve(400).toCompletableFuture();
		CompletableFuture<Void> small = open("b").reserve(10).toCompletableFuture();
		first.reduceTo(900);
		Assert.assertTrue(small.isDone());
		Assert.assertFalse(large.isDone());
	}

	@Test
	public void memoryIsReclaimedFromTheLongestStalledCallerOfTheLargestOwner() {
		HeldMemory small = stalled("small", 100);
		this.nowNanos += NANOS_PER_MILLI;
		HeldMemory older = stalled("large", 450);
		this.nowNanos += NANOS_PER_MILLI;
		HeldMemory newer = stalled("large", 450);
		CompletableFuture<Void> granted = open("other").reserve(400).toCompletableFuture();
		this.budget.reclaim();
		Assert.assertFalse(granted.isDone(), "nobody has stalled for long");
		this.nowNanos += 600 * NANOS_PER_MILLI;
		this.budget.reclaim();
		Assert.assertTrue(granted.isDone());
		Assert.assertEquals(this.reclaimed.get(), 1);
		Assert.assertEquals(older.bytes(), 0);
		Assert.assertEquals(newer.bytes() + small.bytes(), 550);
		Assert.assertTrue(older.reserve(1).toCompletableFuture().isCompletedExceptionally());
	}

	@Test
	public void callerThatMakesProgressKeepsItsMemory() {
		HeldMemory moving = stalled("a", 500);
		HeldMemory stalled = stalled("a", 500);
		CompletableFuture<Void> granted = open("b").reserve(100).toCompletableFuture();
		this.nowNanos += 600 * NANOS_PER_MILLI;
		moving.markProgress();
		this.budget.reclaim();
		Assert.assertTrue(granted.isDone());
		Assert.assertEquals(moving.bytes(), 500);
		Assert.assertEquals(stalled.bytes(), 0);
	}

	@Test
	public void slowestOfThoseThatWaitIsRefusedWhenNobodyStalls() {
		HeldMemory slow = open("a");
		slow.add(300);
		HeldMemory fast = open("a");
		fast.add(700);
		CompletableFuture<Void> slowReserve = slow.reserve(450).toCompletableFuture();
		CompletableFuture<Void> fastReserve = fast.reserve(900).toCompletableFuture();
		Assert.assertTrue(fastReserve.isDone(), "no more than half of the budget is reserved");
		fast.close();
		fast = open("a");
		fast.add(700);
		this.nowNanos += 1_000 * NANOS_PER_MILLI;
		this.budget.reclaim();
		Assert.assertTrue(slowReserve.isDone(), "memory was released");
		HeldMemory waiting = open("a");
		CompletableFuture<Void> refused = waiting.reserve(10).toCompletableFuture();
		this.nowNanos += 2_100 * NANOS_PER_MILLI;
		this.budget.reclaim();
		Assert.assertTrue(refused.isCompletedExceptionally());
		Assert.assertEquals(this.budget.refusedCount(), 1);
	}

	@Test
	public void largestRequestIsGrantedByAnIdleBudget() {
		HeldMemory held = open("a");
		Assert.assertTrue(held.reserve(5_000).toCompletableFuture().isDone());
		Assert.assertEquals(held.bytes(), 500);
		held.close();
		held.add(10);
		Assert.assertEquals(this.budget.usedBytes(), 0, "a closed holder isn't charged");
	}

	private HeldMemory open(String owner) {
		return this.budget.open(MemoryKind.REQUEST, owner, this.reclaimed::incrementAndGet);
	}

	private HeldMemory stalled(String owner, long bytes) {
		HeldMemory held = open(owner);
		held.add(bytes);
		held.setCallerDue(true);
		return held;
	}

}
