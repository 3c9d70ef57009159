package org.marjoramgw.policy.memory;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link MemoryBudget} and {@link Progress}.
 *
 * @author The marjoramgw authors
 */
public class MemoryBudgetTests {

	private static final long TOTAL = 16 * MemoryBudget.SMALL_BYTES;

	private final MemoryBudget budget = new MemoryBudget(TOTAL);

	/** Guards against an owner that takes the share of others, and against leaks. */
	@Test
	public void largeHoldersLeaveRoomForOthers() {
		MemoryHolder first = hold("a", TOTAL / 2 + 2 * MemoryBudget.SMALL_BYTES);
		MemoryHolder other = hold("b", 2 * MemoryBudget.SMALL_BYTES - 1);
		Assert.assertFalse(first.mayGrow(), "share of one owner");
		Assert.assertTrue(other.mayGrow());
		other.add(MemoryUse.PARSING, 1);
		Assert.assertFalse(other.mayGrow(), "share of large holders");
		MemoryHolder small = hold("c", MemoryBudget.SMALL_BYTES);
		Assert.assertTrue(small.mayGrow());
		AtomicInteger resumed = new AtomicInteger();
		Assert.assertFalse(other.mayGrow(resumed::incrementAndGet));
		first.set(MemoryUse.REQUEST_BODIES, 0);
		Assert.assertEquals(resumed.get(), 1);
		Assert.assertTrue(other.isWaiting() && other.endWait(resumed::incrementAndGet) && first.mayGrow());
		other.close();
		small.close();
		small.set(MemoryUse.WRITES, 1);
		Assert.assertEquals(this.budget.usedBytes(), 3 * MemoryBudget.SMALL_BYTES - 1);
		other.set(MemoryUse.REQUEST_BODIES, 0);
		small.set(MemoryUse.REQUEST_BODIES, 0);
		Assert.assertEquals(this.budget.usedBytes(), 0);
	}

	@Test
	public void memoryIsReclaimedFromTheLeastProgress() {
		Progress<String> stalled = new Progress<>("stalled", 1_000, 0, 4);
		Progress<String> active = new Progress<>("active", 999, 0, 1);
		Progress<String> small = new Progress<>("small", 5_000, 1, 2);
		Assert.assertEquals(Progress.chooseVictims(List.of(small, active, stalled)), List.of("stalled"));
		Assert.assertEquals(Progress.chooseVictims(List.of(small, active)), List.of());
		Progress<String> large = new Progress<>("large", 5_000, 2_000, 3);
		Assert.assertEquals(Progress.chooseVictims(List.of(large, small, active)), List.of("small"));
	}

	private MemoryHolder hold(String owner, long bytes) {
		MemoryHolder holder = this.budget.open();
		holder.setOwner(() -> owner);
		holder.set(MemoryUse.REQUEST_BODIES, bytes);
		return holder;
	}

}
