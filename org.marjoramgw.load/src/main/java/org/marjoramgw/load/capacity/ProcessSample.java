package org.marjoramgw.load.capacity;

/**
 * Resource usage of a process up to one point in time, as accounted by the kernel.
 *
 * @param timestampNanos time of the sample, in nanoseconds since an arbitrary origin
 * @param cpuNanos processor time of all threads, in nanoseconds
 * @param ioBytes bytes read and written, including sockets
 * @param residentBytes current resident set size, in bytes
 * @author The marjoramgw authors
 */
record ProcessSample(long timestampNanos, long cpuNanos, long ioBytes, long residentBytes) {
}
