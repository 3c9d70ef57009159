package org.marjoramgw.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;

/**
 * Budget of all memory that a process holds for callers, by the memory that is actually
 * occupied; thread-safe.
 * <p>
 * Who needs memory that isn't there waits. Meanwhile memory is reclaimed from callers
 * that hold some and make no progress, those of the owner with the most memory first. If
 * all make progress, the slowest of those that wait is refused.
 *
 * @author The marjoramgw authors
 */
public final class MemoryBudget {

	static final CompletionStage<Void> GRANTED = CompletableFuture.completedFuture(null);

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Time without progress after which memory that others need is reclaimed. */
	private static final long STALL_NANOS = 500 * NANOS_PER_MILLI;

	/** Time after which one of those that wait is refused. */
	private static final long WAIT_NANOS = 2_000 * NANOS_PER_MILLI;

	/** Time after which each of those that wait is refused. */
	private static final long MAX_WAIT_NANOS = 5_000 * NANOS_PER_MILLI;

	private final long maxBytes;

	private final LongSupplier nanoClock;

	private final Set<HeldMemory> holders = new HashSet<>();

	private final Set<HeldMemory> waiting = new HashSet<>();

	private final Map<MemoryKind, Long> bytesByKind = new EnumMap<>(MemoryKind.class);

	private final Map<String, Long> bytesByOwner = new HashMap<>();

	private long usedBytes;

	private long reclaimedCount;

	private long refusedCount;

	/**
	 * Creates a budget.
	 * @param maxBytes memory that may be held, in bytes
	 * @param nanoClock monotonic clock, in nanoseconds
	 */
	public MemoryBudget(long maxBytes, LongSupplier nanoClock) {
		this.maxBytes = maxBytes;
		this.nanoClock = nanoClock;
	}

	/**
	 * Starts holding memory for a caller.
	 * @param kind kind of the memory
	 * @param owner account or address that the memory is held for
	 * @param onReclaimed called when the memory was reclaimed; must release it
	 * @return the memory, which is empty at first and must be closed
	 */
	public HeldMemory open(MemoryKind kind, String owner, Runnable onReclaimed) {
		HeldMemory held = new HeldMemory(this, kind, owner, onReclaimed);
		synchronized (this) {
			this.holders.add(held);
		}
		return held;
	}

	/**
	 * Returns the size of the budget.
	 * @return memory that may be held, in bytes
	 */
	public long maxBytes() {
		return this.maxBytes;
	}

	/**
	 * Returns the memory held.
	 * @param kind kind of the memory
	 * @return the memory, in bytes
	 */
	public synchronized long usedBytes(MemoryKind kind) {
		return this.bytesByKind.getOrDefault(kind, 0L);
	}

	/**
	 * Returns all memory held.
	 * @return the memory, in bytes
	 */
	public synchronized long usedBytes() {
		return this.usedBytes;
	}

	/**
	 * Tells whether what is held without waiting has grown so far beyond the budget that
	 * no more may be added.
	 * @return whether a quarter more than the budget is held
	 */
	public synchronized boolean isOverdrawn() {
		return this.usedBytes > this.maxBytes + this.maxBytes / 4;
	}

	/**
	 * Returns how often memory was reclaimed.
	 * @return number of callers since the start
	 */
	public synchronized long reclaimedCount() {
		return this.reclaimedCount;
	}

	/**
	 * Returns how often a caller waited for memory in vain.
	 * @return number of callers since the start
	 */
	public synchronized long refusedCount() {
		return this.refusedCount;
	}

	/**
	 * Reclaims memory that others wait for. Must be called periodically.
	 */
	public void reclaim() {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this) {
			grant(actions);
			Optional<HeldMemory> victim = findStalled();
			while (isExhausted() && victim.isPresent()) {
				this.reclaimedCount++;
				remove(victim.get());
				actions.add(victim.get().onReclaimed());
				grant(actions);
				victim = findStalled();
			}
			refuseWaiting(actions);
		}
		actions.forEach(Runnable::run);
	}

	long nowNanos() {
		return this.nanoClock.getAsLong();
	}

	synchronized CompletionStage<Void> reserve(HeldMemory held, long totalBytes) {
		if (held.isClosed()) {
			return CompletableFuture.failedFuture(new MemoryExhaustedException("memory was reclaimed"));
		}
		long wantedBytes = Math.min(totalBytes, this.maxBytes / 2);
		if (wantedBytes <= held.bytes()) {
			return GRANTED;
		}
		if (this.waiting.isEmpty() && fits(held, wantedBytes)) {
			change(held, wantedBytes - held.bytes());
			return GRANTED;
		}
		this.waiting.add(held);
		return held.startWaiting(wantedBytes);
	}

	synchronized void add(HeldMemory held, long addedBytes) {
		if (!held.isClosed()) {
			change(held, addedBytes);
		}
	}

	void reduceTo(HeldMemory held, long totalBytes) {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this) {
			if (!held.isClosed() && totalBytes < held.bytes()) {
				change(held, totalBytes - held.bytes());
				grant(actions);
			}
		}
		actions.forEach(Runnable::run);
	}

	void close(HeldMemory held) {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this) {
			if (!held.isClosed()) {
				remove(held);
				grant(actions);
			}
		}
		actions.forEach(Runnable::run);
	}

	private boolean fits(HeldMemory held, long wantedBytes) {
		return this.usedBytes + wantedBytes - held.bytes() <= this.maxBytes;
	}

	private boolean isExhausted() {
		return !this.waiting.isEmpty() || this.usedBytes > this.maxBytes;
	}

	/**
	 * Grants memory to those that wait, small amounts first, so that ordinary requests
	 * don't wait behind large ones.
	 * @param actions receives the actions to run without the lock
	 */
	private void grant(List<Runnable> actions) {
		if (this.waiting.isEmpty() || this.usedBytes >= this.maxBytes) {
			return;
		}
		List<HeldMemory> bySize = new ArrayList<>(this.waiting);
		bySize.sort(Comparator.comparingLong(HeldMemory::wantedBytes));
		for (HeldMemory held : bySize) {
			if (!fits(held, held.wantedBytes())) {
				return;
			}
			change(held, held.wantedBytes() - held.bytes());
			this.waiting.remove(held);
			CompletableFuture<Void> granted = held.stopWaiting();
			actions.add(() -> granted.complete(null));
		}
	}

	private Optional<HeldMemory> findStalled() {
		if (!isExhausted()) {
			return Optional.empty();
		}
		long nowNanos = nowNanos();
		return this.holders.stream()
			.filter((held) -> held.stalledNanos(nowNanos) >= STALL_NANOS)
			.max(Comparator.comparingLong(this::ownerBytes).thenComparingLong((held) -> held.stalledNanos(nowNanos)));
	}

	private void refuseWaiting(List<Runnable> actions) {
		long nowNanos = nowNanos();
		for (HeldMemory held : List.copyOf(this.waiting)) {
			if (held.waitingNanos(nowNanos) >= MAX_WAIT_NANOS) {
				refuse(held, actions);
			}
		}
		Optional<HeldMemory> slowest = this.waiting.stream()
			.filter((held) -> held.waitingNanos(nowNanos) >= WAIT_NANOS)
			.max(Comparator.comparingLong(this::ownerBytes)
				.thenComparing(
						Comparator.comparingDouble((HeldMemory held) -> held.bytesPerMilli(nowNanos)).reversed()));
		slowest.ifPresent((held) -> refuse(held, actions));
		grant(actions);
	}

	private void refuse(HeldMemory held, List<Runnable> actions) {
		this.refusedCount++;
		CompletableFuture<Void> refused = held.waiting();
		remove(held);
		actions.add(() -> refused.completeExceptionally(new MemoryExhaustedException("no memory left")));
	}

	private void remove(HeldMemory held) {
		change(held, -held.bytes());
		held.markClosed();
		this.holders.remove(held);
		this.waiting.remove(held);
	}

	private long ownerBytes(HeldMemory held) {
		return this.bytesByOwner.getOrDefault(held.owner(), 0L);
	}

	private void change(HeldMemory held, long addedBytes) {
		held.setBytes(held.bytes() + addedBytes);
		this.usedBytes += addedBytes;
		this.bytesByKind.merge(held.kind(), addedBytes, Long::sum);
		long ownerBytes = this.bytesByOwner.merge(held.owner(), addedBytes, Long::sum);
		if (ownerBytes == 0) {
			this.bytesByOwner.remove(held.owner());
		}
	}

}
