package org.marjoramgw.direct;

/**
 * Bounds of what a process holds for its callers. By default they are derived from the
 * heap and the descriptors of the process.
 *
 * @param memoryBytes memory for all callers, in bytes, or 0 to derive it
 * @param maxConnections connections above which idle ones are closed, or 0 to derive it
 * @param descriptorCount descriptors that the process may have open, or 0 to ask the
 * operating system
 * @author The marjoramgw authors
 */
public record CallerSettings(long memoryBytes, int maxConnections, int descriptorCount) {
}
