package org.marjoramgw.load.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Steal time: processor time that the hypervisor gave to other virtual machines.
 * Latencies of runs with different steal time aren't comparable, and the load average
 * doesn't include it.
 *
 * @author The marjoramgw authors
 */
final class StealTime {

	/** Kernel statistics. */
	static final Path PROC_STAT = Path.of("/proc/stat");

	private static final double PERCENT = 100;

	private static final double UNKNOWN = -1;

	/** User, nice, system, idle, iowait, irq, softirq and steal. */
	private static final int CPU_FIELD_COUNT = 8;

	private final Path statFile;

	private final CpuTicks initialTicks;

	StealTime(Path statFile) {
		this.statFile = statFile;
		this.initialTicks = readTicks();
	}

	/**
	 * Returns the share of steal time in the time of all processors since this object was
	 * created.
	 * @return the share in percent, or -1 if the kernel doesn't report it
	 */
	double percentSinceCreation() {
		CpuTicks now = readTicks();
		long totalTicks = now.total() - this.initialTicks.total();
		return (totalTicks > 0) ? PERCENT * (now.steal() - this.initialTicks.steal()) / totalTicks : UNKNOWN;
	}

	private CpuTicks readTicks() {
		try {
			List<String> lines = Files.readAllLines(this.statFile);
			return lines.isEmpty() ? new CpuTicks(0, 0) : parse(lines.get(0));
		}
		catch (IOException ex) {
			return new CpuTicks(0, 0);
		}
	}

	private static CpuTicks parse(String line) {
		String[] fields = line.trim().split("\\s+");
		if (fields.length <= CPU_FIELD_COUNT) {
			return new CpuTicks(0, 0);
		}
		long totalTicks = 0;
		for (int field = 1; field <= CPU_FIELD_COUNT; field++) {
			totalTicks += Long.parseLong(fields[field]);
		}
		return new CpuTicks(totalTicks, Long.parseLong(fields[CPU_FIELD_COUNT]));
	}

	/**
	 * Processor time since system boot.
	 *
	 * @param total total time, in kernel ticks
	 * @param steal steal time, in kernel ticks
	 */
	private record CpuTicks(long total, long steal) {
	}

}
