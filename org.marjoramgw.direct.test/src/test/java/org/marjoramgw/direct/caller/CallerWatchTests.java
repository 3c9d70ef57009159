package org.marjoramgw.direct.caller;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.direct.peer.ManualTimers;
import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.policy.memory.MemoryHolder;
import org.marjoramgw.policy.memory.MemoryUse;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests when {@link CallerWatch} checks, without connections.
 *
 * @author The marjoramgw authors
 */
public class CallerWatchTests {

	private static final long TOTAL_BYTES = 1 << 20;

	private ManualTimers timers;

	private MemoryBudget memory;

	@BeforeMethod
	public void start() {
		this.timers = new ManualTimers();
		this.memory = new MemoryBudget(TOTAL_BYTES);
		new CallerWatch(this.timers, this.timers::nowMillis, () -> CallerLimits.DEFAULT, this.memory, Map.of(),
				() -> true, new CallerEvents())
			.start();
		this.timers.advance(1_000);
	}

	/** Guards against an idle process that wakes up ten times a second. */
	@Test
	public void nothingIsCheckedWhileNobodyWaits() {
		Assert.assertEquals(this.timers.pendingCount(), 0);
		this.memory.open().set(MemoryUse.WRITES, TOTAL_BYTES / 2);
		Assert.assertEquals(this.timers.pendingCount(), 0);
	}

	/** Guards against a shortage that is noticed only by the next regular check. */
	@Test
	public void exhaustedBudgetIsCheckedUntilItHasRoom() {
		MemoryHolder holder = this.memory.open();
		holder.set(MemoryUse.WRITES, TOTAL_BYTES);
		for (int round = 0; round < 5; round++) {
			Assert.assertEquals(this.timers.pendingCount(), 1);
			this.timers.advance(100);
		}
		holder.set(MemoryUse.WRITES, 0);
		this.timers.advance(100);
		Assert.assertEquals(this.timers.pendingCount(), 0);
	}

	/**
	 * Guards against a large holder that nobody resumes, since it waits while small ones
	 * still have room.
	 */
	@Test
	public void waitingHolderIsResumed() {
		MemoryHolder other = this.memory.open();
		other.set(MemoryUse.REQUEST_BODIES, TOTAL_BYTES / 2);
		MemoryHolder holder = this.memory.open();
		holder.set(MemoryUse.REQUEST_BODIES, TOTAL_BYTES / 2 - 1);
		AtomicInteger retryCount = new AtomicInteger();
		Assert.assertFalse(holder.mayGrow(retryCount::incrementAndGet));
		this.timers.advance(100);
		Assert.assertEquals(retryCount.get(), 1);
		Assert.assertFalse(holder.endWait(retryCount::incrementAndGet));
		this.timers.advance(100);
		Assert.assertEquals(retryCount.get(), 2);
		other.set(MemoryUse.REQUEST_BODIES, 0);
		Assert.assertTrue(holder.endWait(retryCount::incrementAndGet));
		Assert.assertFalse(holder.isWaiting());
		this.timers.advance(100);
		Assert.assertEquals(this.timers.pendingCount(), 0);
	}

}
