package org.marjoramgw.policy.memory;

import java.util.function.Supplier;

/**
 * Memory that is held for one connection; thread-safe. What is in memory already is
 * always counted, so that a holder may exceed the budget by what one read brings.
 *
 * @author The marjoramgw authors
 */
public final class MemoryHolder {

	private static final String UNKNOWN = "";

	private final MemoryBudget budget;

	private final long[] bytesByUse = new long[MemoryUse.values().length];

	private long heldBytes;

	private Supplier<String> ownerSource = () -> UNKNOWN;

	private String owner;

	private long ownerBytes;

	private boolean closed;

	private boolean waiting;

	MemoryHolder(MemoryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Sets the owner of what is held from now on, which is asked for only if it is large.
	 * @param source returns the name of the owner
	 */
	public synchronized void setOwner(Supplier<String> source) {
		countOwner(0);
		this.owner = null;
		this.ownerSource = source;
		countOwner(this.heldBytes);
	}

	/**
	 * Sets the memory that is held for one purpose.
	 * @param use the purpose
	 * @param bytes the memory, in bytes
	 */
	public synchronized void set(MemoryUse use, long bytes) {
		if (this.closed && use != MemoryUse.REQUEST_BODIES) {
			return;
		}
		long added = bytes - this.bytesByUse[use.ordinal()];
		if (added == 0) {
			return;
		}
		this.bytesByUse[use.ordinal()] = bytes;
		this.heldBytes += added;
		this.budget.change(use, added);
		countOwner(this.heldBytes);
	}

	/**
	 * Adds to the memory that is held for one purpose.
	 * @param use the purpose
	 * @param bytes additional memory, in bytes
	 */
	public synchronized void add(MemoryUse use, long bytes) {
		set(use, this.bytesByUse[use.ordinal()] + bytes);
	}

	/**
	 * Releases all but the body of a request, which may go on without its connection.
	 */
	public synchronized void close() {
		for (MemoryUse use : MemoryUse.values()) {
			if (use != MemoryUse.REQUEST_BODIES) {
				set(use, 0);
			}
		}
		this.closed = true;
	}

	/**
	 * Returns the memory that is held.
	 * @return the memory, in bytes
	 */
	public synchronized long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Tells whether more may be read for this holder.
	 * @return whether the budget has room for it
	 */
	public synchronized boolean mayGrow() {
		if (this.heldBytes <= MemoryBudget.SMALL_BYTES) {
			return this.budget.hasRoom();
		}
		return this.budget.hasRoomForLarge((this.owner != null) ? this.owner : UNKNOWN);
	}

	/**
	 * Tells whether more may be read for this holder, which waits for memory otherwise.
	 * @param retry run once, possibly before there is room, and has to end the wait; must
	 * not block or call this class
	 * @return whether the budget has room for it
	 */
	public synchronized boolean mayGrow(Runnable retry) {
		if (mayGrow()) {
			return true;
		}
		if (!this.waiting) {
			this.waiting = true;
			this.budget.await(retry);
		}
		return false;
	}

	/**
	 * Ends the wait, or continues it if there is no room yet.
	 * @param retry as for the wait
	 * @return whether it has ended
	 */
	public synchronized boolean endWait(Runnable retry) {
		this.waiting = !mayGrow();
		if (this.waiting) {
			this.budget.await(retry);
		}
		return !this.waiting;
	}

	/**
	 * Tells whether this holder waits for memory.
	 * @return whether it does
	 */
	public synchronized boolean isWaiting() {
		return this.waiting;
	}

	private void countOwner(long held) {
		long large = Math.max(0, held - MemoryBudget.SMALL_BYTES);
		if (large == this.ownerBytes) {
			return;
		}
		if (this.owner == null) {
			this.owner = this.ownerSource.get();
		}
		this.budget.changeOwner(this.owner, large - this.ownerBytes);
		this.ownerBytes = large;
	}

}
