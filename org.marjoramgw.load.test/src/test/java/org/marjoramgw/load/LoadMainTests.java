package org.marjoramgw.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.marjoramgw.program.ExitCode;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the command line of the load tool.
 *
 * @author The marjoramgw authors
 */
public class LoadMainTests {

	@DataProvider
	public Object[][] commandLines() {
		return new Object[][] { { ExitCode.OK, "--help" }, { ExitCode.OK, "--version" }, { ExitCode.OK, "run --help" },
				{ ExitCode.USAGE, "" }, { ExitCode.USAGE, "run" }, { ExitCode.USAGE, "unknown" },
				{ ExitCode.USAGE, "run no-such-file.toml" }, { ExitCode.USAGE, "demo --deployment ../x" },
				{ ExitCode.USAGE, "demo --seconds 0" }, { ExitCode.USAGE, "compare one.json" },
				{ ExitCode.FAILURE, "compare no-such-a.json no-such-b.json" } };
	}

	@Test(dataProvider = "commandLines")
	public void exitCodeDistinguishesUsageErrorFromFailure(int code, String arguments) {
		String[] words = arguments.isEmpty() ? new String[0] : arguments.split(" ");
		Assert.assertEquals(LoadMain.run(words), code);
	}

	@Test
	public void errorMessageIncludesCauses() {
		IOException inner = new IOException("timeout");
		Assert.assertEquals(LoadMain.messageWithCauses(new IOException("no start", inner)), "no start: timeout");
	}

	@Test
	public void unknownKeyIsAUsageError() throws IOException {
		Path file = Files.createTempFile("experiment", ".toml");
		Files.writeString(file, "name = \"x\"\ndeployment = \"y.toml\"\nwindow = 5\n");
		Assert.assertEquals(LoadMain.run("run", file.toString()), ExitCode.USAGE);
		Files.delete(file);
	}

}
