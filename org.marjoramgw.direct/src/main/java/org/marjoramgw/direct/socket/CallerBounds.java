package org.marjoramgw.direct.socket;

import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.program.DescriptorLimit;

/**
 * Bounds of what a process holds for its callers.
 *
 * @param memory budget of the memory
 * @param maxSockets bound of the sockets; idle ones are closed above it
 * @author The marjoramgw authors
 */
public record CallerBounds(MemoryBudget memory, int maxSockets) {

	/** Descriptors for the files, selectors and listening sockets of the process. */
	private static final int OWN_DESCRIPTORS = 64;

	/** Descriptors if the limit is not known. */
	private static final int DEFAULT_DESCRIPTORS = 1_024;

	private static final int MIN_SOCKETS = 16;

	/**
	 * Derives the bounds from the limits of the process. A quarter of the descriptors is
	 * left for connections to backend servers.
	 * @param memoryBytes memory for callers, in bytes, or 0 for a share of the heap
	 * @param maxSockets bound of the sockets, or 0 for a share of the descriptors
	 * @param descriptorCount descriptors of the process, or 0 to ask the operating system
	 * @return the bounds
	 */
	public static CallerBounds ofProcess(long memoryBytes, int maxSockets, int descriptorCount) {
		MemoryBudget memory = (memoryBytes > 0) ? new MemoryBudget(memoryBytes)
				: MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory());
		int descriptors = (descriptorCount > 0) ? descriptorCount : DescriptorLimit.read().orElse(DEFAULT_DESCRIPTORS);
		int derived = Math.max(MIN_SOCKETS, descriptors - descriptors / 4 - OWN_DESCRIPTORS);
		return new CallerBounds(memory, (maxSockets > 0) ? maxSockets : derived);
	}

	/**
	 * Returns bounds that are never reached.
	 * @return the bounds
	 */
	public static CallerBounds unlimited() {
		return new CallerBounds(MemoryBudget.unlimited(), Integer.MAX_VALUE);
	}

}
