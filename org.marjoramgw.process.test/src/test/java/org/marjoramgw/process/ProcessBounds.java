package org.marjoramgw.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

import org.marjoramgw.rig.JavaCommand;
import org.marjoramgw.rig.ManagedProcess;
import org.testng.Assert;

/**
 * Bounds on the resources of a process, which follow from the options of its JVM and its
 * limit on descriptors.
 *
 * @author The marjoramgw authors
 */
final class ProcessBounds {

	/** Limit on the descriptors of a process under test. */
	static final int MAX_DESCRIPTORS = 512;

	/**
	 * Bound on the open descriptors: the rest stays free for the connections that the
	 * process itself opens.
	 */
	static final int BOUND_DESCRIPTORS = MAX_DESCRIPTORS * 7 / 8;

	private static final String[] MEMORY_OPTIONS = { "-Xmx", "-XX:MaxMetaspaceSize=", "-XX:ReservedCodeCacheSize=",
			"-XX:MaxDirectMemorySize=" };

	/** Stacks, the JVM's own structures and the C library. */
	private static final long OTHER_MEGABYTES = 64;

	private static final int KILOBYTES_PER_MEGABYTE = 1_024;

	private ProcessBounds() {
	}

	/**
	 * Reads the largest heap of the programs.
	 * @return the heap, in bytes
	 * @throws Exception if the options can't be read
	 */
	static long heapBytes() throws Exception {
		return optionMegabytes(MEMORY_OPTIONS[0]) << 20;
	}

	/**
	 * Checks that a process is alive, and that neither its largest resident set so far
	 * nor its open descriptors are over their bounds.
	 * @param process the process
	 * @throws Exception if the options of the JVM or the state of the process can't be
	 * read
	 */
	static void check(ManagedProcess process) throws Exception {
		Assert.assertTrue(process.isAlive(), process.name() + " has exited: " + process.outputLines());
		long boundMegabytes = OTHER_MEGABYTES;
		for (String option : MEMORY_OPTIONS) {
			boundMegabytes += optionMegabytes(option);
		}
		long peakMegabytes = peakKilobytes(process.pid()) / KILOBYTES_PER_MEGABYTE;
		Assert.assertTrue(peakMegabytes <= boundMegabytes,
				process.name() + " had " + peakMegabytes + " MB resident, the bound is " + boundMegabytes);
		long descriptors = descriptors(process.pid());
		Assert.assertTrue(descriptors <= BOUND_DESCRIPTORS,
				process.name() + " has " + descriptors + " descriptors, the bound is " + BOUND_DESCRIPTORS);
	}

	private static long optionMegabytes(String option) throws Exception {
		Path file = new JavaCommand().repositoryRoot().resolve("bin").resolve(JavaCommand.DAEMON_OPTIONS);
		String line = Files.readAllLines(file)
			.stream()
			.filter((candidate) -> candidate.startsWith(option))
			.findFirst()
			.orElseThrow();
		return Long.parseLong(line.substring(option.length()).replace("m", ""));
	}

	private static long peakKilobytes(long pid) throws IOException {
		String line = Files.readAllLines(Path.of("/proc/" + pid + "/status"))
			.stream()
			.filter((candidate) -> candidate.startsWith("VmHWM:"))
			.findFirst()
			.orElseThrow();
		return Long.parseLong(line.replaceAll("\\D", ""));
	}

	private static long descriptors(long pid) throws IOException {
		try (Stream<Path> files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
			return files.count();
		}
	}

}
