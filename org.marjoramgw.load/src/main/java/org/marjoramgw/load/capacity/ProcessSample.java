package org.marjoramgw.load.capacity;

/**
 * What the kernel has accounted to a process up to one moment.
 *
 * @param timestampNanos the moment, in nanoseconds of an arbitrary origin
 * @param cpuNanos processor time of its threads, in nanoseconds
 * @param ioBytes bytes that it read and wrote, sockets included
 * @param residentBytes memory that it holds now, in bytes
 * @author The marjoramgw authors
 */
record ProcessSample(long timestampNanos, long cpuNanos, long ioBytes, long residentBytes) {
}
