package org.marjoramgw.direct.socket;

import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.policy.memory.MemoryHolder;
import org.marjoramgw.policy.memory.MemoryUse;

/**
 * Memory that is held for one socket, its wait for more, and whether bytes pass through
 * it; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class SocketMemory {

	/** Memory of a connection that waits to be opened, in bytes. */
	private static final long ACCEPTED_BYTES = 2 << 10;

	/** Memory of an open connection with the streams of its HTTP layer, in bytes. */
	private static final long OPENED_BYTES = 14 << 10;

	/** Memory of the objects around one piece of bytes. */
	private static final int PIECE_OVERHEAD_BYTES = 128;

	private final MemoryHolder holder;

	private final Runnable retry;

	private volatile boolean active = true;

	/**
	 * Creates the memory of an accepted socket.
	 * @param budget budget of the process
	 * @param retry run when there may be more memory; must not block
	 */
	SocketMemory(MemoryBudget budget, Runnable retry) {
		this.holder = budget.open();
		this.retry = retry;
		this.holder.set(MemoryUse.CONNECTIONS, ACCEPTED_BYTES);
	}

	MemoryHolder holder() {
		return this.holder;
	}

	void onOpened() {
		this.holder.set(MemoryUse.CONNECTIONS, OPENED_BYTES);
	}

	void onReceived(long occupiedBytes) {
		this.active = true;
		this.holder.set(MemoryUse.READ_AHEAD, occupiedBytes);
	}

	void onTaken(long occupiedBytes) {
		this.holder.set(MemoryUse.READ_AHEAD, 0);
		this.holder.add(MemoryUse.PARSING, occupiedBytes + PIECE_OVERHEAD_BYTES);
	}

	void onDiscarded() {
		this.holder.set(MemoryUse.READ_AHEAD, 0);
	}

	void onWritten() {
		this.active = true;
	}

	void onUnwritten(long bytes) {
		this.holder.set(MemoryUse.WRITES, bytes);
	}

	/**
	 * Tells whether there is memory for more bytes.
	 * @return whether there is; if not, the action is run when there may be
	 */
	boolean mayGrow() {
		return this.holder.mayGrow(this.retry);
	}

	/**
	 * Ends the wait, or continues it if there is no memory yet.
	 * @return whether it has ended
	 */
	boolean endWait() {
		return this.holder.endWait(this.retry);
	}

	/**
	 * Tells whether bytes were received or written since the last call.
	 * @return whether there were any
	 */
	boolean takeActivity() {
		boolean wasActive = this.active;
		this.active = false;
		return wasActive;
	}

}
