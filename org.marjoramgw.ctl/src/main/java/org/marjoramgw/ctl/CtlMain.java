package org.marjoramgw.ctl;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.errors.InvalidTextException;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.program.ProgramOptions;
import org.marjoramgw.program.Version;
import org.tinylog.configuration.Configuration;

/**
 * Main class of the operators' program.
 *
 * @author The marjoramgw authors
 */
public final class CtlMain {

	private static final String NAME = "marjoramgw";

	private final PrintStream out;

	private final PrintStream err;

	/**
	 * Creates the program.
	 * @param out where results go
	 * @param err where errors and warnings go
	 */
	public CtlMain(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	/**
	 * Runs the program.
	 * @param arguments command-line arguments
	 */
	public static void main(String[] arguments) {
		Configuration.set("writer.stream", "err");
		System.exit(new CtlMain(System.out, System.err).run(arguments));
	}

	/**
	 * Runs one command.
	 * @param arguments command-line arguments
	 * @return the exit code
	 */
	public int run(String... arguments) {
		ProgramOptions programOptions = new ProgramOptions();
		Map<String, Command> commands = newCommands();
		JCommander commander = JCommander.newBuilder().programName(NAME).addObject(programOptions).build();
		commands.forEach(commander::addCommand);
		try {
			commander.parse(arguments);
			return run(commander, programOptions, commands);
		}
		catch (ParameterException ex) {
			this.err.println(Messages.error(ex.getMessage()));
			return ExitCode.USAGE;
		}
	}

	private int run(JCommander commander, ProgramOptions programOptions, Map<String, Command> commands) {
		if (programOptions.version()) {
			this.out.println(NAME + " " + Version.TEXT);
			return ExitCode.OK;
		}
		String name = commander.getParsedCommand();
		if (programOptions.help() || name == null) {
			return printUsage(commander, programOptions.help());
		}
		Command command = commands.get(name);
		if (command.options().help()) {
			return printUsage(commander.getCommands().get(name), true);
		}
		return run(command);
	}

	private int run(Command command) {
		Console console = new Console(this.out, this.err, command.options().json());
		try {
			return command.run(console);
		}
		catch (InvalidTextException ex) {
			console.problems(ex.problems());
			return ExitCode.USAGE;
		}
		catch (CodedException ex) {
			console.error(ex.getMessage());
			return ExitCode.FAILURE;
		}
	}

	private int printUsage(JCommander commander, boolean wanted) {
		StringBuilder text = new StringBuilder();
		commander.getUsageFormatter().usage(text);
		(wanted ? this.out : this.err).print(text);
		return wanted ? ExitCode.OK : ExitCode.USAGE;
	}

	private static Map<String, Command> newCommands() {
		Map<String, Command> commands = new LinkedHashMap<>();
		List<Command> all = List.of(new CheckCommand(), new PublishCommand(), new ShowCommand(), new HistoryCommand(),
				new DiffCommand(), new StatusCommand(), new DrainCommand(), new ExplainCommand());
		all.forEach((command) -> commands.put(command.name(), command));
		return commands;
	}

}
