package org.marjoramgw.program;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link CommandLine}.
 *
 * @author The marjoramgw authors
 */
public class CommandLineTests {

	private static final int DONE = 7;

	private ByteArrayOutputStream out;

	private ByteArrayOutputStream err;

	private CommandLine commandLine;

	@BeforeMethod
	public void newCommandLine() {
		this.out = new ByteArrayOutputStream();
		this.err = new ByteArrayOutputStream();
		this.commandLine = new CommandLine("program", new PrintStream(this.out), new PrintStream(this.err));
	}

	@DataProvider
	public Object[][] commandLines() {
		return new Object[][] { { "greet --text hi", DONE, "", "" }, { "--help", ExitCode.OK, "greet", "" },
				{ "greet --help", ExitCode.OK, "--text", "" },
				{ "--version", ExitCode.OK, "program " + Version.TEXT, "" }, { "", ExitCode.USAGE, "", "greet" },
				{ "unknown", ExitCode.USAGE, "", "program: " }, { "greet", ExitCode.USAGE, "", "program: " },
				{ "--config x.toml greet", ExitCode.USAGE, "", "program: " },
				{ "greet --text refused", ExitCode.USAGE, "", "program: refused" },
				{ "greet --text =", ExitCode.USAGE, "", "x.toml:1" } };
	}

	@Test(dataProvider = "commandLines")
	public void printsToTheExpectedStream(String arguments, int exitCode, String expectedOut, String expectedErr) {
		String[] words = arguments.isEmpty() ? new String[0] : arguments.split(" ");
		Assert.assertEquals(this.commandLine.runCommand(Map.of("greet", new Greet()), this::greet, words), exitCode);
		assertContains(this.out, expectedOut);
		assertContains(this.err, expectedErr);
	}

	@Test
	public void runsAProgramWithoutCommands() {
		TextOption options = new TextOption();
		Assert.assertEquals(this.commandLine.run(options, () -> options.text.length(), "--text", "hello"), 5);
		Assert.assertEquals(this.out.size() + this.err.size(), 0);
	}

	private int greet(Greet command) throws InvalidTomlException {
		if (command.text.equals("refused")) {
			throw new ParameterException(command.text);
		}
		TomlTable.ofText("x.toml", command.text.equals("=") ? "=" : "");
		return DONE;
	}

	private static void assertContains(ByteArrayOutputStream stream, String expected) {
		String text = stream.toString(StandardCharsets.UTF_8);
		Assert.assertTrue(expected.isEmpty() ? text.isEmpty() : text.contains(expected), text);
	}

	private static final class TextOption {

		@Parameter(names = "--text", required = true)
		private String text;

	}

	private static final class Greet extends CommandLine.Command {

		@Parameter(names = "--text", required = true)
		private String text;

	}

}
