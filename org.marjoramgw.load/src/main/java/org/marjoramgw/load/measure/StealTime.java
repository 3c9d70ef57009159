package org.marjoramgw.load.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Processor time that the host of a virtual machine gave to others, which makes latencies
 * of a run incomparable. The load average doesn't show it.
 *
 * @author The marjoramgw authors
 */
final class StealTime {

	/** Statistics of the kernel. */
	static final Path PROC_STAT = Path.of("/proc/stat");

	private static final double PERCENT = 100;

	private static final double UNKNOWN = -1;

	/** User, nice, system, idle, I/O wait, interrupts, soft interrupts and stolen. */
	private static final int CPU_FIELD_COUNT = 8;

	private final Path statFile;

	private final CpuTicks initialTicks;

	StealTime(Path statistics) {
		this.statFile = statistics;
		this.initialTicks = readTicks();
	}

	/**
	 * Returns the stolen share of the time of all processors since the creation.
	 * @return the share in percent, or -1 if the system doesn't tell
	 */
	double percentSinceCreation() {
		CpuTicks now = readTicks();
		long all = now.total() - this.initialTicks.total();
		return (all > 0) ? PERCENT * (now.steal() - this.initialTicks.steal()) / all : UNKNOWN;
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
		String[] words = line.trim().split("\\s+");
		if (words.length <= CPU_FIELD_COUNT) {
			return new CpuTicks(0, 0);
		}
		long all = 0;
		for (int kind = 1; kind <= CPU_FIELD_COUNT; kind++) {
			all += Long.parseLong(words[kind]);
		}
		return new CpuTicks(all, Long.parseLong(words[CPU_FIELD_COUNT]));
	}

	/**
	 * Processor time since the start of the system.
	 *
	 * @param total all of it, in ticks of the kernel
	 * @param steal the stolen part, in ticks of the kernel
	 */
	private record CpuTicks(long total, long steal) {
	}

}
