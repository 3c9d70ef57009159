package org.marjoramgw.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Memory that is held for one caller: its connection, its request or its response.
 * Thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class HeldMemory implements AutoCloseable {

	private final MemoryBudget budget;

	private final MemoryKind kind;

	private final String owner;

	private volatile Runnable onReclaimed;

	private final long openedNanos;

	private volatile long progressNanos;

	private volatile boolean callerDue;

	private volatile boolean closed;

	private volatile long bytes;

	private CompletableFuture<Void> waiting;

	private long wantedBytes;

	private long waitingSinceNanos;

	HeldMemory(MemoryBudget budget, MemoryKind kind, String owner, Runnable onReclaimed) {
		this.budget = budget;
		this.kind = kind;
		this.owner = owner;
		this.onReclaimed = onReclaimed;
		this.openedNanos = budget.nowNanos();
		this.progressNanos = this.openedNanos;
	}

	/**
	 * Reserves memory, and waits while the budget is exhausted.
	 * @param totalBytes memory to hold in total, in bytes; no more than half of the
	 * budget is reserved
	 * @return completes when the memory is reserved; fails with a
	 * {@link MemoryExhaustedException} if it isn't available in time or was reclaimed
	 */
	public CompletionStage<Void> reserve(long totalBytes) {
		if (!this.closed && totalBytes <= this.bytes) {
			return MemoryBudget.GRANTED;
		}
		return this.budget.reserve(this, totalBytes);
	}

	/**
	 * Adds memory that is held already, without waiting.
	 * @param addedBytes the memory, in bytes; negative if it was released
	 */
	public void add(long addedBytes) {
		this.budget.add(this, addedBytes);
	}

	/**
	 * Reduces the memory held.
	 * @param totalBytes memory that is still held, in bytes
	 */
	public void reduceTo(long totalBytes) {
		this.budget.reduceTo(this, totalBytes);
	}

	/**
	 * Records that the caller has sent or read something.
	 */
	public void markProgress() {
		this.progressNanos = this.budget.nowNanos();
	}

	/**
	 * Tells whether the caller must send or read something before the memory can be
	 * released. Only such memory is reclaimed.
	 * @param due whether it is the caller's turn
	 */
	public void setCallerDue(boolean due) {
		this.callerDue = due;
	}

	/**
	 * Sets the action to run when the memory was reclaimed.
	 * @param action the action, which must release the memory; replaces the previous one
	 */
	public void whenReclaimed(Runnable action) {
		this.onReclaimed = action;
	}

	/**
	 * Releases all memory.
	 */
	@Override
	public void close() {
		if (!this.closed) {
			this.budget.close(this);
		}
	}

	MemoryKind kind() {
		return this.kind;
	}

	String owner() {
		return this.owner;
	}

	Runnable onReclaimed() {
		return this.onReclaimed;
	}

	/**
	 * Returns the memory held.
	 * @return the memory, in bytes
	 */
	public long bytes() {
		return this.bytes;
	}

	void setBytes(long heldBytes) {
		this.bytes = heldBytes;
	}

	boolean isClosed() {
		return this.closed;
	}

	void markClosed() {
		this.closed = true;
	}

	CompletableFuture<Void> waiting() {
		return this.waiting;
	}

	long wantedBytes() {
		return this.wantedBytes;
	}

	long waitingNanos(long nowNanos) {
		return nowNanos - this.waitingSinceNanos;
	}

	CompletableFuture<Void> startWaiting(long totalBytes) {
		this.waiting = new CompletableFuture<>();
		this.wantedBytes = totalBytes;
		this.waitingSinceNanos = this.budget.nowNanos();
		return this.waiting;
	}

	CompletableFuture<Void> stopWaiting() {
		CompletableFuture<Void> ended = this.waiting;
		this.waiting = null;
		markProgress();
		return ended;
	}

	/**
	 * Tells how long the caller has neither sent nor read anything although it is its
	 * turn.
	 * @param nowNanos current time, in nanoseconds
	 * @return the time, in nanoseconds, or 0 if it isn't the caller's turn
	 */
	long stalledNanos(long nowNanos) {
		boolean due = this.callerDue && this.waiting == null && this.bytes > 0;
		return due ? Math.max(0, nowNanos - this.progressNanos) : 0;
	}

	/**
	 * Returns the progress of the caller.
	 * @param nowNanos current time, in nanoseconds
	 * @return bytes held for each millisecond since the start
	 */
	double bytesPerMilli(long nowNanos) {
		return this.bytes * 1e6 / Math.max(1, nowNanos - this.openedNanos);
	}

}
