package org.marjoramgw.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.HostPort;
import org.marjoramgw.rig.JavaCommand;
import org.marjoramgw.rig.RigException;
import org.testng.Assert;

/**
 * Execution of the operators' command in a separate process.
 *
 * @author The marjoramgw authors
 */
final class OperatorCommand implements AutoCloseable {

	private static final String MAIN = "org.marjoramgw.ctl.CtlMain";

	private static final long TIMEOUT_MILLIS = 60_000;

	private final Path file;

	private final Path output;

	private final Process process;

	private OperatorCommand(Path file, Path output, Process process) {
		this.file = file;
		this.output = output;
		this.process = process;
	}

	/**
	 * Starts the command that publishes a configuration.
	 * @param log address of the log service
	 * @param text text of the configuration
	 * @param baseRevision revision that the text is based on
	 * @param operator name of the operator
	 * @return the running command
	 * @throws IOException if the command can't be started
	 * @throws RigException if the repository isn't found
	 */
	static OperatorCommand publish(HostPort log, String text, long baseRevision, String operator)
			throws IOException, RigException {
		Path file = Files.createTempFile("marjoramgw-proof", ".toml");
		Files.writeString(file, text);
		Path output = Files.createTempFile("marjoramgw-proof", ".out");
		List<String> command = new JavaCommand().commandLine(JavaCommand.TOOL_OPTIONS, MAIN,
				List.of("publish", "--base", Long.toString(baseRevision), "--operator", operator, "--log-url",
						"http://" + log, file.toString()));
		Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile()).start();
		return new OperatorCommand(file, output, process);
	}

	/**
	 * Waits until the command exits.
	 * @return its exit code
	 * @throws InterruptedException if interrupted
	 */
	int exitCode() throws InterruptedException {
		Assert.assertTrue(this.process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "publish did not exit in time");
		return this.process.exitValue();
	}

	String output() throws IOException {
		return Files.readString(this.output, StandardCharsets.UTF_8);
	}

	@Override
	public void close() throws IOException {
		this.process.destroyForcibly();
		Files.deleteIfExists(this.file);
		Files.deleteIfExists(this.output);
	}

}
