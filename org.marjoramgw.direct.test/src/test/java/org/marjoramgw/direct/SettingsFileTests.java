package org.marjoramgw.direct;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;

import org.marjoramgw.settings.TomlTable;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link SettingsFile}.
 *
 * @author The marjoramgw authors
 */
public class SettingsFileTests {

	private static final String REQUIRED = """
			process_id = "e1"
			failure_domain = "a"
			callers_address = "127.0.0.1:0"
			health_address = "127.0.0.1:0"
			health_path = "/ready"
			metrics_address = "127.0.0.1:0"
			store_address = "127.0.0.1:0"
			""";

	@Test
	public void reloadsChangedFileAndIgnoresInvalidOne() throws Exception {
		Path path = Files.createTempFile("settings", ".toml");
		try {
			Files.writeString(path, REQUIRED);
			SettingsFile file = new SettingsFile(TomlTable.ofFile(path));
			Assert.assertFalse(file.hasChanged());
			write(path, REQUIRED + "revocation_ms = 900\n", 1);
			Assert.assertTrue(file.hasChanged());
			Assert.assertTrue(file.reload());
			Assert.assertEquals(file.get().revocationMillis(), 900);
			write(path, "revocation_ms = \"soon\"\n", 2);
			Assert.assertFalse(file.reload());
			Assert.assertEquals(file.get().revocationMillis(), 900);
			Assert.assertFalse(file.hasChanged(), "an invalid file is reported only once");
		}
		finally {
			Files.delete(path);
		}
	}

	private static void write(Path path, String text, int step) throws Exception {
		Files.writeString(path, text);
		Files.setLastModifiedTime(path, FileTime.fromMillis(1_000_000L * step));
	}

}
