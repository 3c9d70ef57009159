package org.marjoramgw.load.capacity;

import java.io.IOException;

/**
 * What a process spent in a stretch of time.
 *
 * @param cpuPercent processor time, in percent of a core
 * @param messagesPerSecond messages exchanged with fake peers, each second
 * @param peerBytesPerSecond bytes of these messages, each second
 * @param ioBytesPerSecond all bytes that the process read and wrote, each second
 * @param residentMegabytes memory at the end, in megabytes of 1,048,576 bytes
 * @author The marjoramgw authors
 */
record ResourceUsage(double cpuPercent, double messagesPerSecond, double peerBytesPerSecond, double ioBytesPerSecond,
		double residentMegabytes) {

	static final double BYTES_PER_MEGABYTE = 1_048_576;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double PERCENT = 100;

	static ResourceUsage measure(ProcessMeter meter, TrafficCounter count, long lengthMillis)
			throws IOException, InterruptedException {
		long messages = count.messages();
		long bytes = count.bytes();
		ProcessSample before = meter.sample();
		Thread.sleep(lengthMillis);
		ProcessSample after = meter.sample();
		double nanos = after.timestampNanos() - before.timestampNanos();
		double seconds = nanos / NANOS_PER_SECOND;
		return new ResourceUsage(PERCENT * (after.cpuNanos() - before.cpuNanos()) / nanos,
				(count.messages() - messages) / seconds, (count.bytes() - bytes) / seconds,
				(after.ioBytes() - before.ioBytes()) / seconds, after.residentBytes() / BYTES_PER_MEGABYTE);
	}

}
