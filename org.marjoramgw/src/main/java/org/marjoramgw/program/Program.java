package org.marjoramgw.program;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.errors.InvalidTextException;
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
		ProgramOptions options = new ProgramOptions();
		JCommander commander = JCommander.newBuilder().programName(this.name).addObject(options).build();
		try {
			commander.parse(arguments);
			if (options.help()) {
				commander.usage();
				return ExitCode.OK;
			}
			if (options.version()) {
				System.out.println(this.name + " " + Version.TEXT);
				return ExitCode.OK;
			}
			return start(options);
		}
		catch (ParameterException ex) {
			System.err.println(this.name + ": " + ex.getMessage());
			return ExitCode.USAGE;
		}
	}

	private int start(ProgramOptions options) {
		if (options.config() == null) {
			System.err.println(this.name + ": --config FILE.toml is required");
			return ExitCode.USAGE;
		}
		try {
			// Pekko's threads would start the logging library side by side and warn about
			// it.
			LoggerFactory.getILoggerFactory();
			this.starter.start(TomlTable.ofFile(options.config()));
			return ExitCode.OK;
		}
		catch (InvalidTextException ex) {
			ex.problems().forEach(System.err::println);
			return ExitCode.USAGE;
		}
	}

	/**
	 * Starts the program's work from its checked settings.
	 */
	@FunctionalInterface
	public interface Starter {

		/**
		 * Starts and returns at once; the program goes on in threads of its own.
		 * @param settings root table of the settings
		 * @throws InvalidTextException if the settings have mistakes
		 */
		void start(TomlTable settings) throws InvalidTextException;

	}

}
