package org.marjoramgw.program;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;
import org.slf4j.LoggerFactory;

/**
 * Launches a long-running program: parses its options, reads its settings file and maps
 * errors to exit codes.
 *
 * @author The marjoramgw authors
 */
public final class ProgramLauncher {

	private final String name;

	private final Starter starter;

	/**
	 * Creates a launcher.
	 * @param name name of the program
	 * @param starter starts the program from its settings
	 */
	public ProgramLauncher(String name, Starter starter) {
		this.name = name;
		this.starter = starter;
	}

	/**
	 * Parses the arguments and starts the program.
	 * @param arguments command-line arguments
	 * @return {@link ExitCode#OK} once the program has started or its help or version was
	 * printed, otherwise {@link ExitCode#USAGE}
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
		// Initializes the logging library first, since it warns if Pekko's threads do so
		// concurrently.
		LoggerFactory.getILoggerFactory();
		this.starter.start(TomlTable.ofFile(options.config));
		return ExitCode.OK;
	}

	/**
	 * Starts a program from its settings.
	 */
	@FunctionalInterface
	public interface Starter {

		/**
		 * Starts the program's threads and returns without waiting for them.
		 * @param settings root table of the settings
		 * @throws InvalidTomlException if the settings are invalid
		 */
		void start(TomlTable settings) throws InvalidTomlException;

	}

	private static final class Options {

		@Parameter(names = "--config", description = "Settings file (TOML)")
		private Path config;

	}

}
