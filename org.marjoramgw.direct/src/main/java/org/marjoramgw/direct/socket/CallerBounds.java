package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.policy.memory.MemoryBudget;

/**
 * Bounds of what a process holds for its callers.
 *
 * @param memory budget of the memory
 * @param maxSockets bound of the sockets; idle ones are closed above it
 * @author The marjoramgw authors
 */
public record CallerBounds(MemoryBudget memory, int maxSockets) {

	private static final Path LIMITS = Path.of("/proc/self/limits");

	private static final Pattern OPEN_FILES = Pattern.compile("Max open files\\s+(\\d+)");

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
		int descriptors = (descriptorCount > 0) ? descriptorCount : descriptors();
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

	private static int descriptors() {
		try {
			Matcher limit = OPEN_FILES.matcher(Files.readString(LIMITS));
			return limit.find() ? (int) Math.min(Long.parseLong(limit.group(1)), Integer.MAX_VALUE)
					: DEFAULT_DESCRIPTORS;
		}
		catch (IOException | NumberFormatException ex) {
			return DEFAULT_DESCRIPTORS;
		}
	}

}
