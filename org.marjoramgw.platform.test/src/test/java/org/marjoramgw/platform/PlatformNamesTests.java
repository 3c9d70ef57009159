package org.marjoramgw.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that the platform's names occur only in the adapter module.
 *
 * @author The marjoramgw authors
 */
public class PlatformNamesTests {

	private static final Pattern NAMES = Pattern.compile("(?i)x-(request-id|deadline-ms|expect-instance|tenant|model\\b"
			+ "|token-usage|prompt-prefix|response-stamp|not-executed|kv-|pin-ms|length-hint)|kv-(from|fetch|move)"
			+ "|log-(newest|append|join)|keyed\\.(op|servers)|pathPrefix\"|MARJORAMGW_BOOT|apiKeys|targetLatencyMs\"");

	@Test
	public void directEntryContainsNoPlatformNames() throws IOException {
		Path root = Path.of(System.getProperty("repository.root", ".."));
		List<String> found = new ArrayList<>();
		for (String module : List.of("org.marjoramgw", "org.marjoramgw.policy", "org.marjoramgw.direct")) {
			try (Stream<Path> files = Files.walk(root.resolve(module).resolve("src/main"))) {
				files.filter(Files::isRegularFile).forEach((file) -> find(file, found));
			}
		}
		found.removeIf((line) -> line.contains("/operator/") || line.contains("/caller/CallerRoutes"));
		Assert.assertEquals(found, List.of());
	}

	private static void find(Path file, List<String> found) {
		try {
			for (String line : Files.readAllLines(file)) {
				if (NAMES.matcher(line).find()) {
					found.add(file + ": " + line.trim());
				}
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
