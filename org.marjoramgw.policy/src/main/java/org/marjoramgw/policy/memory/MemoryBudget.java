package org.marjoramgw.policy.memory;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Memory budget of everything that a process holds for others; thread-safe. Counts the
 * memory that is occupied, not the bytes of the content.
 * <p>
 * Small holders may use all of it, large ones only a part, and one owner of large holders
 * a part of that, so that ordinary requests go on while large ones wait.
 *
 * @author The marjoramgw authors
 */
public final class MemoryBudget {

	/** Memory up to which a holder is small. */
	public static final long SMALL_BYTES = 64 << 10;

	/**
	 * Share of the heap in sixteenths. The rest is for the process itself, some 15 of 64
	 * MB, and for objects that live shortly.
	 */
	private static final long HEAP_SIXTEENTHS = 7;

	/** Holders that are resumed at one release, so that a release stays cheap. */
	private static final int MAX_RESUMED = 8;

	private final long totalBytes;

	private final long largeBytes;

	private final long ownerBytes;

	private final AtomicLong usedBytes = new AtomicLong();

	private final AtomicLongArray usedBytesByUse = new AtomicLongArray(MemoryUse.values().length);

	private final Map<String, Long> largeBytesByOwner = new ConcurrentHashMap<>();

	private final Queue<Runnable> waiting = new ConcurrentLinkedQueue<>();

	private volatile Runnable onShort = () -> {
	};

	/**
	 * Creates a budget.
	 * @param totalBytes memory of all holders together, in bytes
	 */
	public MemoryBudget(long totalBytes) {
		this.totalBytes = totalBytes;
		this.largeBytes = totalBytes - totalBytes / 4;
		this.ownerBytes = this.largeBytes - this.largeBytes / 4;
	}

	/**
	 * Creates the budget of a process.
	 * @param heapBytes size of its heap, in bytes
	 * @return the budget
	 */
	public static MemoryBudget ofHeap(long heapBytes) {
		return new MemoryBudget(heapBytes / 16 * HEAP_SIXTEENTHS);
	}

	/**
	 * Creates a budget without a limit.
	 * @return the budget
	 */
	public static MemoryBudget unlimited() {
		return new MemoryBudget(Long.MAX_VALUE);
	}

	/**
	 * Creates a holder.
	 * @return the holder, which holds nothing
	 */
	public MemoryHolder open() {
		return new MemoryHolder(this);
	}

	/**
	 * Sets what is run when a holder starts to wait or no room is left.
	 * @param action the action, which replaces the previous one; must neither block nor
	 * call a holder
	 */
	public void whenShort(Runnable action) {
		this.onShort = action;
	}

	/**
	 * Reserves memory for a large holder.
	 * @param use what it is for
	 * @param bytes the memory, in bytes
	 * @return whether there was room
	 */
	public boolean tryReserve(MemoryUse use, long bytes) {
		if (this.usedBytes.get() + bytes > this.largeBytes) {
			return false;
		}
		change(use, bytes);
		return true;
	}

	/**
	 * Releases memory.
	 * @param use what it was for
	 * @param bytes the memory, in bytes
	 */
	public void release(MemoryUse use, long bytes) {
		change(use, -bytes);
	}

	/**
	 * Tells whether small holders may grow.
	 * @return whether there is memory left
	 */
	public boolean hasRoom() {
		return this.usedBytes.get() < this.totalBytes;
	}

	/**
	 * Returns the memory of all holders.
	 * @return the memory, in bytes
	 */
	public long totalBytes() {
		return this.totalBytes;
	}

	/**
	 * Returns the memory that is used.
	 * @return the memory, in bytes
	 */
	public long usedBytes() {
		return this.usedBytes.get();
	}

	/**
	 * Returns the memory that is used for one purpose.
	 * @param use the purpose
	 * @return the memory, in bytes
	 */
	public long usedBytes(MemoryUse use) {
		return this.usedBytesByUse.get(use.ordinal());
	}

	/**
	 * Tells whether holders wait for memory.
	 * @return whether there are any
	 */
	public boolean hasWaiting() {
		return !this.waiting.isEmpty();
	}

	/**
	 * Lets some of the holders that wait try again.
	 */
	public void resumeWaiting() {
		Runnable next = this.waiting.poll();
		for (int resumed = 1; next != null; resumed++) {
			next.run();
			next = (resumed < MAX_RESUMED) ? this.waiting.poll() : null;
		}
	}

	boolean hasRoomForLarge(String owner) {
		return this.usedBytes.get() < this.largeBytes
				&& this.largeBytesByOwner.getOrDefault(owner, 0L) < this.ownerBytes;
	}

	void await(Runnable retry) {
		this.waiting.add(retry);
		this.onShort.run();
	}

	void changeOwner(String owner, long bytes) {
		this.largeBytesByOwner.merge(owner, bytes, (held, more) -> (held + more != 0) ? (Long) (held + more) : null);
	}

	void change(MemoryUse use, long bytes) {
		long used = this.usedBytes.addAndGet(bytes);
		this.usedBytesByUse.addAndGet(use.ordinal(), bytes);
		if (bytes < 0 && used < this.largeBytes && hasWaiting()) {
			resumeWaiting();
		}
		else if (used >= this.totalBytes && used - bytes < this.totalBytes) {
			this.onShort.run();
		}
	}

}
