package org.marjoramgw.program;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;
import org.slf4j.LoggerFactory;

/**
 * Frame of a long-running program: options, settings and exit codes.
 *
 * @author The marjoramgw authors
 */
public final class Program {

	private final String name;

	private final Starter starter;

	/**
	 * Creates a frame.
	 * @param name name of the program
	 * @param starter starts its work
	 */
	public Program(String name, Starter starter) {
		this.name = name;
		this.starter = starter;
	}

	/**
	 * Parses the arguments and starts the program.
	 * @param arguments command-line arguments
	 * @return {@link ExitCode#OK} once started or after help, otherwise another code
	 */
	public int run(String... arguments) {
		Options options = new Options();
		CommandLine commandLine = new CommandLine(this.name, System.out, System.err);
		return commandLine.run(options, () -> start(options), arguments);
	}

	private int start(Options options) throws InvalidTomlException {
		if (options.config == null) {
			throw new ParameterException("--config FILE.toml is required");
		}
		// Pekko's threads would start the logging library side by side and warn about it.
		LoggerFactory.getILoggerFactory();
		this.starter.start(TomlTable.ofFile(options.config));
		return ExitCode.OK;
	}

	/**
	 * Starts the program's work from its checked settings.
	 */
	@FunctionalInterface
	public interface Starter {

		/**
		 * Starts and returns at once; the program goes on in threads of its own.
		 * @param settings root table of the settings
		 * @throws InvalidTomlException if the settings have mistakes
		 */
		void start(TomlTable settings) throws InvalidTomlException;

	}

	private static final class Options {

		@Parameter(names = "--config", description = "Settings file (TOML)")
		private Path config;

	}

}
