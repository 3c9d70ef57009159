package org.marjoramgw.program;

import java.io.PrintStream;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.errors.InvalidTomlException;

/**
 * Command line of a program: help, version, and what mistakes in options and files print
 * and exit with. It is used once.
 *
 * @author The marjoramgw authors
 */
public final class CommandLine {

	private final String name;

	private final PrintStream out;

	private final PrintStream err;

	private final General general = new General();

	private final JCommander commander;

	/**
	 * Creates a command line.
	 * @param name name of the program
	 * @param out where help and the version go if they were asked for
	 * @param err where mistakes go, and the options if a command is missing
	 */
	public CommandLine(String name, PrintStream out, PrintStream err) {
		this.name = name;
		this.out = out;
		this.err = err;
		this.commander = JCommander.newBuilder().programName(name).addObject(this.general).build();
	}

	/**
	 * Runs a program that has no commands.
	 * @param options object that takes its options
	 * @param work what it does once the options are parsed
	 * @param arguments the arguments
	 * @return the exit code
	 */
	public int run(Object options, Work work, String... arguments) {
		this.commander.addObject(options);
		return parse(() -> this.general.isHelpWanted() ? printUsage(this.commander, true) : work.run(), arguments);
	}

	/**
	 * Runs the command that the arguments name.
	 * @param <C> type of the commands
	 * @param commands the commands by name
	 * @param work what is done with the command once its options are parsed
	 * @param arguments the arguments
	 * @return the exit code
	 */
	public <C extends Command> int runCommand(Map<String, C> commands, CommandWork<C> work, String... arguments) {
		commands.forEach(this.commander::addCommand);
		return parse(() -> run(commands, work), arguments);
	}

	private <C extends Command> int run(Map<String, C> commands, CommandWork<C> work) throws InvalidTomlException {
		String chosen = this.commander.getParsedCommand();
		if (this.general.isHelpWanted() || chosen == null) {
			return printUsage(this.commander, this.general.isHelpWanted());
		}
		C command = commands.get(chosen);
		if (command.isHelpWanted()) {
			return printUsage(this.commander.getCommands().get(chosen), true);
		}
		return work.run(command);
	}

	private int parse(Work work, String... arguments) {
		try {
			this.commander.parse(arguments);
			if (this.general.version) {
				this.out.println(this.name + " " + Version.TEXT);
				return ExitCode.OK;
			}
			return work.run();
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

	private int printUsage(JCommander of, boolean wanted) {
		StringBuilder text = new StringBuilder();
		of.getUsageFormatter().usage(text);
		(wanted ? this.out : this.err).print(text);
		return wanted ? ExitCode.OK : ExitCode.USAGE;
	}

	/**
	 * Options of one command, whose help is printed when it is asked for.
	 */
	public abstract static class Command {

		@Parameter(names = "--help", help = true, description = "Print the options and exit")
		private boolean help;

		final boolean isHelpWanted() {
			return this.help;
		}

	}

	/**
	 * What a program does once its options are parsed.
	 */
	@FunctionalInterface
	public interface Work {

		/**
		 * Does it.
		 * @return the exit code
		 * @throws InvalidTomlException if a file has mistakes
		 */
		int run() throws InvalidTomlException;

	}

	/**
	 * What a program does with a command once its options are parsed.
	 *
	 * @param <C> type of the commands
	 */
	@FunctionalInterface
	public interface CommandWork<C extends Command> {

		/**
		 * Does it.
		 * @param command the command
		 * @return the exit code
		 * @throws InvalidTomlException if a file has mistakes
		 */
		int run(C command) throws InvalidTomlException;

	}

	private static final class General extends Command {

		@Parameter(names = "--version", help = true, description = "Print the version and exit")
		private boolean version;

	}

}
