package org.marjoramgw.entry.caller;

import org.marjoramgw.http.HeldMemory;
import org.marjoramgw.http.MemoryBudget;
import org.marjoramgw.http.MemoryKind;

/**
 * Memory of one response that was received from a side process and not written to the
 * caller yet. Thread-safe.
 *
 * @author The marjoramgw authors
 */
final class ResponseMemory implements AutoCloseable {

	private final MemoryBudget budget;

	private final HeldMemory held;

	private final Runnable onExhausted;

	ResponseMemory(MemoryBudget budget, String account, Runnable onExhausted) {
		this.budget = budget;
		this.held = budget.open(MemoryKind.RESPONSE, account, onExhausted);
		this.onExhausted = onExhausted;
	}

	/**
	 * Checks whether there is memory for more of the response, which may exceed the
	 * budget to a certain degree, since the request has run.
	 * @return whether there is; otherwise the request is cancelled
	 */
	boolean isAvailable() {
		if (this.budget.isOverdrawn()) {
			this.onExhausted.run();
			return false;
		}
		return true;
	}

	void add(long bytes) {
		this.held.add(bytes);
	}

	/**
	 * Adds memory of an event that waits until the caller reads it.
	 * @param bytes the memory, in bytes
	 */
	void addUnread(long bytes) {
		if (this.held.bytes() == 0) {
			this.held.markProgress();
		}
		this.held.setCallerDue(true);
		this.held.add(bytes);
	}

	void onRead(long bytes) {
		this.held.add(-bytes);
		this.held.markProgress();
	}

	void clear() {
		this.held.reduceTo(0);
	}

	@Override
	public void close() {
		this.held.close();
	}

}
