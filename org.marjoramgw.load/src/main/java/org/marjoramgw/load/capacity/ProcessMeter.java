package org.marjoramgw.load.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.marjoramgw.rig.RigException;

/**
 * Meter of a running process, read from {@code /proc}.
 *
 * @author The marjoramgw authors
 */
final class ProcessMeter {

	private static final long BYTES_PER_KILOBYTE = 1_024;

	private static final long TICK_NANOS = 10_000_000;

	private static final int USER_TIME_FIELD = 11;

	private static final int SYSTEM_TIME_FIELD = 12;

	private final long pid;

	private final Path procDirectory;

	ProcessMeter(long pid) {
		this.pid = pid;
		this.procDirectory = Path.of("/proc", Long.toString(pid));
	}

	ProcessSample sample() throws IOException {
		List<String> io = Files.readAllLines(this.procDirectory.resolve("io"));
		long ioBytes = readValue(io, "rchar") + readValue(io, "wchar");
		long residentBytes = readValue(Files.readAllLines(this.procDirectory.resolve("status")), "VmRSS")
				* BYTES_PER_KILOBYTE;
		return new ProcessSample(System.nanoTime(), cpuNanos(), ioBytes, residentBytes);
	}

	/**
	 * Collects the garbage of the process and sums its live objects.
	 * @return live heap, in bytes
	 * @throws IOException if the tool of the Java runtime can't be started
	 * @throws InterruptedException if the thread is interrupted
	 * @throws RigException if its output can't be read
	 */
	long liveHeapBytes() throws IOException, InterruptedException, RigException {
		String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
		Process tool = new ProcessBuilder(jcmd, Long.toString(this.pid), "GC.class_histogram").redirectErrorStream(true)
			.start();
		List<String> lines = tool.inputReader().lines().toList();
		tool.waitFor();
		String total = lines.stream()
			.filter((line) -> line.startsWith("Total"))
			.findFirst()
			.orElseThrow(() -> new RigException("no histogram of process " + this.pid, null));
		return Long.parseLong(total.trim().split("\\s+")[2]);
	}

	/**
	 * Reads the processor time of all threads, ended ones included, as the kernel counts
	 * it in ticks.
	 * @return processor time, in nanoseconds
	 * @throws IOException if the process has ended
	 */
	private long cpuNanos() throws IOException {
		String stat = Files.readString(this.procDirectory.resolve("stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD])) * TICK_NANOS;
	}

	private static long readValue(List<String> lines, String key) {
		return lines.stream()
			.filter((line) -> line.startsWith(key + ":"))
			.map((line) -> line.substring(key.length() + 1).trim().split("\\s+")[0])
			.mapToLong(Long::parseLong)
			.findFirst()
			.orElse(0);
	}

}
