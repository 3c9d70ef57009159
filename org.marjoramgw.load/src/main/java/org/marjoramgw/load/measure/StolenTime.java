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
final class StolenTime {

	/** Statistics of the kernel. */
	static final Path KERNEL_STATISTICS = Path.of("/proc/stat");

	private static final double PERCENT = 100;

	private static final double UNKNOWN = -1;

	/** User, nice, system, idle, I/O wait, interrupts, soft interrupts and stolen. */
	private static final int KIND_COUNT = 8;

	private final Path statistics;

	private final Ticks ticksAtCreation;

	StolenTime(Path statistics) {
		this.statistics = statistics;
		this.ticksAtCreation = read();
	}

	/**
	 * Returns the stolen share of the time of all processors since the creation.
	 * @return the share in percent, or -1 if the system doesn't tell
	 */
	double percentSinceCreation() {
		Ticks now = read();
		long all = now.all() - this.ticksAtCreation.all();
		return (all > 0) ? PERCENT * (now.stolen() - this.ticksAtCreation.stolen()) / all : UNKNOWN;
	}

	private Ticks read() {
		try {
			List<String> lines = Files.readAllLines(this.statistics);
			return lines.isEmpty() ? new Ticks(0, 0) : parse(lines.get(0));
		}
		catch (IOException ex) {
			return new Ticks(0, 0);
		}
	}

	private static Ticks parse(String line) {
		String[] words = line.trim().split("\\s+");
		if (words.length <= KIND_COUNT) {
			return new Ticks(0, 0);
		}
		long all = 0;
		for (int kind = 1; kind <= KIND_COUNT; kind++) {
			all += Long.parseLong(words[kind]);
		}
		return new Ticks(all, Long.parseLong(words[KIND_COUNT]));
	}

	/**
	 * Processor time since the start of the system.
	 *
	 * @param all all of it, in ticks of the kernel
	 * @param stolen the stolen part, in ticks of the kernel
	 */
	private record Ticks(long all, long stolen) {
	}

}
