package org.marjoramgw.program;

import java.io.PrintStream;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.errors.InvalidTomlException;

/**
 * Parses the command line of a program, prints its help and version, and maps errors in
 * options and files to messages and exit codes. An instance can be used only once.
 *
 * @author The marjoramgw authors
 */
public final class CommandLine {

	private final String name;

	private final PrintStream out;

	private final PrintStream err;

	private final GlobalOptions globalOptions = new GlobalOptions();

	private final JCommander commander;

	/**
	 * Creates a command line.
	 * @param name name of the program
	 * @param out stream for help and version that were requested
	 * @param err stream for errors, and for the usage if the command is missing
	 */
	public CommandLine(String name, PrintStream out, PrintStream err) {
		this.name = name;
		this.out = out;
		this.err = err;
		this.commander = JCommander.newBuilder().programName(name).addObject(this.globalOptions).build();
	}

	/**
	 * Runs a program that has no subcommands.
	 * @param options object with JCommander annotations that receives the options
	 * @param action action to run once the options are parsed
	 * @param arguments command-line arguments
	 * @return the exit code
	 */
	public int run(Object options, Action action, String... arguments) {
		this.commander.addObject(options);
		return parseAndRun(() -> this.globalOptions.isHelpWanted() ? printUsage(this.commander, true) : action.run(),
				arguments);
	}

	/**
	 * Runs the subcommand that the arguments select.
	 * @param <C> type of the subcommands
	 * @param commands the subcommands by name
	 * @param action action to run with the selected subcommand once its options are
	 * parsed
	 * @param arguments command-line arguments
	 * @return the exit code
	 */
	public <C extends Command> int runCommand(Map<String, C> commands, CommandAction<C> action, String... arguments) {
		commands.forEach(this.commander::addCommand);
		return parseAndRun(() -> run(commands, action), arguments);
	}

	private <C extends Command> int run(Map<String, C> commands, CommandAction<C> action) throws InvalidTomlException {
		String commandName = this.commander.getParsedCommand();
		if (this.globalOptions.isHelpWanted() || commandName == null) {
			return printUsage(this.commander, this.globalOptions.isHelpWanted());
		}
		C command = commands.get(commandName);
		if (command.isHelpWanted()) {
			return printUsage(this.commander.getCommands().get(commandName), true);
		}
		return action.run(command);
	}

	private int parseAndRun(Action action, String... arguments) {
		try {
			this.commander.parse(arguments);
			if (this.globalOptions.version) {
				this.out.println(this.name + " " + Version.TEXT);
				return ExitCode.OK;
			}
			return action.run();
		}
		catch (ParameterException ex) {
			this.err.println(this.name + ": " + ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (InvalidTomlException ex) {
			ex.problems().forEach(this.err::println);
			return ExitCode.USAGE;
		}
	}

	private int printUsage(JCommander target, boolean requested) {
		StringBuilder text = new StringBuilder();
		target.getUsageFormatter().usage(text);
		(requested ? this.out : this.err).print(text);
		return requested ? ExitCode.OK : ExitCode.USAGE;
	}

	/**
	 * Base class of the options of a subcommand; adds {@code --help}.
	 */
	public abstract static class Command {

		@Parameter(names = "--help", help = true, description = "Print the options and exit")
		private boolean help;

		final boolean isHelpWanted() {
			return this.help;
		}

	}

	/**
	 * Action of a program without subcommands.
	 */
	@FunctionalInterface
	public interface Action {

		/**
		 * Runs the action.
		 * @return the exit code
		 * @throws InvalidTomlException if a settings or configuration file is invalid
		 */
		int run() throws InvalidTomlException;

	}

	/**
	 * Action of a program with subcommands.
	 *
	 * @param <C> type of the subcommands
	 */
	@FunctionalInterface
	public interface CommandAction<C extends Command> {

		/**
		 * Runs the action.
		 * @param command the selected subcommand with its parsed options
		 * @return the exit code
		 * @throws InvalidTomlException if a settings or configuration file is invalid
		 */
		int run(C command) throws InvalidTomlException;

	}

	private static final class GlobalOptions extends Command {

		@Parameter(names = "--version", help = true, description = "Print the version and exit")
		private boolean version;

	}

}
