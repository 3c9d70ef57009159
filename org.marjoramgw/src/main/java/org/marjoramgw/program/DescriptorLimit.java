package org.marjoramgw.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Limit of the operating system on the descriptors that the process may have open.
 *
 * @author The marjoramgw authors
 */
public final class DescriptorLimit {

	private static final Path LIMITS = Path.of("/proc/self/limits");

	private static final Pattern OPEN_FILES = Pattern.compile("Max open files\\s+(\\d+)");

	private DescriptorLimit() {
	}

	/**
	 * Reads the limit.
	 * @return number of descriptors, or empty if the operating system doesn't tell it
	 */
	public static OptionalInt read() {
		try {
			Matcher limit = OPEN_FILES.matcher(Files.readString(LIMITS));
			return limit.find() ? OptionalInt.of((int) Math.min(Long.parseLong(limit.group(1)), Integer.MAX_VALUE))
					: OptionalInt.empty();
		}
		catch (IOException | NumberFormatException ex) {
			return OptionalInt.empty();
		}
	}

}
