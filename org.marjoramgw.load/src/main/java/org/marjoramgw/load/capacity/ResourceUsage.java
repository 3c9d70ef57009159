package org.marjoramgw.load.capacity;

import java.io.IOException;

/**
 * Resource usage of a process during an interval.
 *
 * @param cpuPercent processor time, in percent of one core
 * @param messagesPerSecond messages exchanged with fake peers, per second
 * @param peerBytesPerSecond bytes of these messages, per second
 * @param ioBytesPerSecond all bytes that the process read and wrote, per second
 * @param residentMegabytes resident set size at the end, in megabytes of 1,048,576 bytes
 * @author The marjoramgw authors
 */
record ResourceUsage(double cpuPercent, double messagesPerSecond, double peerBytesPerSecond, double ioBytesPerSecond,
		double residentMegabytes) {

	static final double BYTES_PER_MEGABYTE = 1_048_576;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double PERCENT = 100;

	static ResourceUsage measure(ProcessMeter meter, TrafficCounter trafficCounter, long lengthMillis)
			throws IOException, InterruptedException {
		long messagesBefore = trafficCounter.messages();
		long bytesBefore = trafficCounter.bytes();
		ProcessSample before = meter.sample();
		Thread.sleep(lengthMillis);
		ProcessSample after = meter.sample();
		double nanos = after.timestampNanos() - before.timestampNanos();
		double seconds = nanos / NANOS_PER_SECOND;
		return new ResourceUsage(PERCENT * (after.cpuNanos() - before.cpuNanos()) / nanos,
				(trafficCounter.messages() - messagesBefore) / seconds,
				(trafficCounter.bytes() - bytesBefore) / seconds, (after.ioBytes() - before.ioBytes()) / seconds,
				after.residentBytes() / BYTES_PER_MEGABYTE);
	}

}
