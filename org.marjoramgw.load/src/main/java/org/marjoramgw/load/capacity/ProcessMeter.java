package org.marjoramgw.load.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.marjoramgw.rig.RigException;

/**
 * Reads the resource usage of a running process from {@code /proc}.
 *
 * @author The marjoramgw authors
 */
final class ProcessMeter {

	private static final long BYTES_PER_KILOBYTE = 1_024;

	private static final long TICK_NANOS = 10_000_000;

	/** Index of {@code utime} in the stat file, counted after the command name. */
	private static final int USER_TIME_FIELD = 11;

	/** Index of {@code stime} in the stat file, counted after the command name. */
	private static final int SYSTEM_TIME_FIELD = 12;

	private final long pid;

	private final Path procDirectory;

	ProcessMeter(long pid) {
		this.pid = pid;
		this.procDirectory = Path.of("/proc", Long.toString(pid));
	}

	ProcessSample sample() throws IOException {
		List<String> ioLines = Files.readAllLines(this.procDirectory.resolve("io"));
		long ioBytes = readValue(ioLines, "rchar") + readValue(ioLines, "wchar");
		long residentBytes = readValue(Files.readAllLines(this.procDirectory.resolve("status")), "VmRSS")
				* BYTES_PER_KILOBYTE;
		return new ProcessSample(System.nanoTime(), cpuNanos(), ioBytes, residentBytes);
	}

	/**
	 * Runs a full garbage collection in the process and returns the total size of its
	 * live objects.
	 * @return size of the live objects, in bytes
	 * @throws IOException if {@code jcmd} can't be started
	 * @throws InterruptedException if the thread is interrupted
	 * @throws RigException if its output can't be read
	 */
	long liveHeapBytes() throws IOException, InterruptedException, RigException {
		String jcmdPath = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
		Process jcmdProcess = new ProcessBuilder(jcmdPath, Long.toString(this.pid), "GC.class_histogram")
			.redirectErrorStream(true)
			.start();
		List<String> lines = jcmdProcess.inputReader().lines().toList();
		jcmdProcess.waitFor();
		String totalLine = lines.stream()
			.filter((line) -> line.startsWith("Total"))
			.findFirst()
			.orElseThrow(() -> new RigException("jcmd returned no class histogram of process " + this.pid, null));
		return Long.parseLong(totalLine.trim().split("\\s+")[2]);
	}

	/**
	 * Reads the processor time of all threads, including ended ones. The kernel reports
	 * it in ticks.
	 * @return processor time, in nanoseconds
	 * @throws IOException if the process has ended
	 */
	private long cpuNanos() throws IOException {
		String statLine = Files.readString(this.procDirectory.resolve("stat"));
		String[] fields = statLine.substring(statLine.lastIndexOf(')') + 2).split(" ");
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
