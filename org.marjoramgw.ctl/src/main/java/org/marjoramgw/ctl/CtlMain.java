package org.marjoramgw.ctl;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.program.CommandLine;
import org.marjoramgw.program.ExitCode;
import org.tinylog.configuration.Configuration;

/**
 * Main class of the operators' command-line tool.
 *
 * @author The marjoramgw authors
 */
public final class CtlMain {

	private final PrintStream out;

	private final PrintStream err;

	/**
	 * Creates the command-line tool.
	 * @param out stream for results
	 * @param err stream for errors and warnings
	 */
	public CtlMain(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	/**
	 * Runs the command given on the command line and exits the JVM with its exit code.
	 * @param arguments command-line arguments
	 */
	public static void main(String[] arguments) {
		Configuration.set("writer.stream", "err");
		System.exit(new CtlMain(System.out, System.err).run(arguments));
	}

	/**
	 * Runs the command that the arguments select.
	 * @param arguments command-line arguments
	 * @return the exit code
	 */
	public int run(String... arguments) {
		return new CommandLine(Messages.PROGRAM, this.out, this.err).runCommand(newCommands(), this::run, arguments);
	}

	private int run(Command command) {
		Console console = new Console(this.out, this.err, command.options().json());
		try {
			return command.run(console);
		}
		catch (InvalidTomlException ex) {
			console.problems(ex.problems());
			return ExitCode.USAGE;
		}
		catch (CodedException ex) {
			console.error(ex.getMessage());
			return ExitCode.FAILURE;
		}
	}

	private static Map<String, Command> newCommands() {
		Map<String, Command> commands = new LinkedHashMap<>();
		List<Command> all = List.of(new CheckCommand(), new PublishCommand(), new ShowCommand(), new HistoryCommand(),
				new DiffCommand(), new StatusCommand(), new DrainCommand(), new ExplainCommand(), new WhereCommand());
		all.forEach((command) -> commands.put(command.name(), command));
		return commands;
	}

}
