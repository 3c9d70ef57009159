package org.marjoramgw.direct.duty;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.marjoramgw.MillisClock;

/**
 * Steady clock that also advances while the VM is suspended: shows the larger of the
 * elapsed times of the monotonic clock and of the time since the VM booted, which the
 * kernel reports; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class ElapsedClock implements MillisClock {

	private static final Path UPTIME = Path.of("/proc/uptime");

	private static final double MILLIS_PER_SECOND = 1_000;

	private final MillisClock monotonic;

	private final Path uptime;

	private final long startMillis;

	private final double startUptimeSeconds;

	private long lastMillis;

	ElapsedClock(MillisClock monotonic) {
		this(monotonic, UPTIME);
	}

	ElapsedClock(MillisClock monotonic, Path uptime) {
		this.monotonic = monotonic;
		this.uptime = uptime;
		this.startMillis = monotonic.nowMillis();
		this.startUptimeSeconds = uptimeSeconds();
	}

	@Override
	public synchronized long nowMillis() {
		long elapsedMillis = this.monotonic.nowMillis() - this.startMillis;
		double uptimeSeconds = uptimeSeconds();
		if (uptimeSeconds >= 0 && this.startUptimeSeconds >= 0) {
			elapsedMillis = Math.max(elapsedMillis,
					(long) ((uptimeSeconds - this.startUptimeSeconds) * MILLIS_PER_SECOND));
		}
		this.lastMillis = Math.max(this.lastMillis, elapsedMillis);
		return this.lastMillis;
	}

	/**
	 * Reads the time since the VM booted.
	 * @return the time in seconds, or -1 if the kernel doesn't report it
	 */
	private double uptimeSeconds() {
		try {
			return Double.parseDouble(Files.readString(this.uptime, StandardCharsets.US_ASCII).split(" ")[0]);
		}
		catch (IOException | NumberFormatException ex) {
			return -1;
		}
	}

}
