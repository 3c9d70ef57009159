package org.marjoramgw.standin;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.marjoramgw.HostPort;
import org.marjoramgw.errors.InvalidTextException;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.program.ProgramOptions;
import org.marjoramgw.program.ReadyLine;
import org.marjoramgw.program.Version;
import org.marjoramgw.settings.TomlTable;

/**
 * Main class of the stand-ins: one subcommand for each, and {@code all} for any number of
 * them in one process.
 *
 * @author The marjoramgw authors
 */
public final class StandinMain {

	private static final String NAME = "marjoramgw-standin";

	private StandinMain() {
	}

	/**
	 * Runs the program.
	 * @param arguments command-line arguments
	 */
	public static void main(String[] arguments) {
		int code = run(arguments);
		if (code != ExitCode.OK) {
			System.exit(code);
		}
	}

	private static int run(String... arguments) {
		ProgramOptions options = new ProgramOptions();
		JCommander.Builder builder = JCommander.newBuilder().programName(NAME).addObject(options);
		Map<String, Subcommand> commands = subcommands();
		commands.forEach(builder::addCommand);
		JCommander commander = builder.build();
		try {
			commander.parse(arguments);
		}
		catch (ParameterException ex) {
			System.err.println(NAME + ": " + ex.getMessage());
			return ExitCode.USAGE;
		}
		if (options.version()) {
			System.out.println(NAME + " " + Version.TEXT);
			return ExitCode.OK;
		}
		Subcommand command = commands.get(commander.getParsedCommand());
		if (options.help() || command == null || command.help) {
			commander.usage();
			return (command == null && !options.help()) ? ExitCode.USAGE : ExitCode.OK;
		}
		return start(command);
	}

	private static int start(Subcommand command) {
		try {
			TomlTable settings = (command.config != null) ? TomlTable.ofFile(command.config)
					: TomlTable.ofText("defaults", "");
			StandinSet standins = StandinSet.read(command.kind, settings);
			settings.throwIfInvalid();
			StandinSystem system = new StandinSystem();
			Map<String, HostPort> addresses = standins.start(system);
			Runtime.getRuntime().addShutdownHook(new Thread(system::close, "shutdown"));
			ReadyLine.print(addresses);
			return ExitCode.OK;
		}
		catch (InvalidTextException ex) {
			ex.problems().forEach(System.err::println);
			return ExitCode.USAGE;
		}
	}

	private static Map<String, Subcommand> subcommands() {
		Map<String, Subcommand> commands = new LinkedHashMap<>();
		for (StandinKind kind : StandinKind.values()) {
			commands.put(kind.commandName(), new Subcommand(kind));
		}
		return commands;
	}

	@Parameters(commandDescription = "Start this stand-in")
	private static final class Subcommand {

		@Parameter(names = "--help", help = true, description = "Print the options and exit")
		private boolean help;

		@Parameter(names = "--config", description = "Settings file (TOML); every key has a default")
		private Path config;

		private final StandinKind kind;

		Subcommand(StandinKind kind) {
			this.kind = kind;
		}

	}

}
