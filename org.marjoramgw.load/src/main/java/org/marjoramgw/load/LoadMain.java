package org.marjoramgw.load;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.StringJoiner;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.errors.InvalidTextException;
import org.marjoramgw.load.capacity.CapacityCommand;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.program.Version;
import org.marjoramgw.rig.RigException;

/**
 * Program {@code marjoramgw-load}: runs experiments and shows their results.
 *
 * @author The marjoramgw authors
 */
public final class LoadMain {

	private static final String NAME = "marjoramgw-load";

	private LoadMain() {
	}

	/**
	 * Runs the program.
	 * @param arguments command-line arguments
	 */
	public static void main(String[] arguments) {
		System.exit(run(arguments));
	}

	/**
	 * Runs the program and returns.
	 * @param arguments command-line arguments
	 * @return the exit code
	 */
	static int run(String... arguments) {
		Options options = new Options();
		JCommander.Builder builder = JCommander.newBuilder().programName(NAME).addObject(options);
		Map<String, LoadCommand> commands = commands();
		commands.forEach(builder::addCommand);
		JCommander commander = builder.build();
		try {
			commander.parse(arguments);
		}
		catch (ParameterException ex) {
			System.err.println(NAME + ": " + ex.getMessage());
			return ExitCode.USAGE;
		}
		if (options.version) {
			System.out.println(NAME + " " + Version.TEXT);
			return ExitCode.OK;
		}
		LoadCommand command = commands.get(commander.getParsedCommand());
		if (command == null) {
			commander.usage();
			return options.help ? ExitCode.OK : ExitCode.USAGE;
		}
		if (options.help || command.help()) {
			commander.usage(commander.getParsedCommand());
			return ExitCode.OK;
		}
		return run(command);
	}

	private static int run(LoadCommand command) {
		try {
			command.run();
			return ExitCode.OK;
		}
		catch (InvalidTextException ex) {
			ex.problems().forEach(System.err::println);
			return ExitCode.USAGE;
		}
		catch (ParameterException ex) {
			System.err.println(NAME + ": " + ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (IOException | RigException ex) {
			System.err.println(NAME + ": " + withCauses(ex));
			return ExitCode.FAILURE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
	}

	/**
	 * Writes an exception's message with those of its causes, without which a failed
	 * start can't be told from a refused one.
	 * @param ex the exception
	 * @return the messages, outermost first
	 */
	static String withCauses(Throwable ex) {
		StringJoiner messages = new StringJoiner(": ");
		for (Throwable cause = ex; cause != null; cause = cause.getCause()) {
			messages.add(Objects.requireNonNullElse(cause.getMessage(), cause.getClass().getSimpleName()));
		}
		return messages.toString();
	}

	private static Map<String, LoadCommand> commands() {
		Map<String, LoadCommand> commands = new LinkedHashMap<>();
		commands.put("run", new RunCommand());
		commands.put("series", new SeriesCommand());
		commands.put("compare", new CompareCommand());
		commands.put("plot", new PlotCommand());
		commands.put("demo", new DemoCommand());
		commands.put("capacity", new CapacityCommand());
		return commands;
	}

	private static final class Options {

		@Parameter(names = "--help", help = true, description = "Print the options and exit")
		private boolean help;

		@Parameter(names = "--version", help = true, description = "Print the version and exit")
		private boolean version;

	}

}
