package org.marjoramgw.standin;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.marjoramgw.HostPort;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.program.CommandLine;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.program.ReadyLine;
import org.marjoramgw.settings.TomlTable;

/**
 * Main class of the stand-ins: one subcommand for each kind, and {@code all} to run any
 * number of them in one process.
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
		return new CommandLine(NAME, System.out, System.err).runCommand(subcommands(), StandinMain::start, arguments);
	}

	private static int start(Subcommand command) throws InvalidTomlException {
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

	private static Map<String, Subcommand> subcommands() {
		Map<String, Subcommand> commands = new LinkedHashMap<>();
		for (StandinKind kind : StandinKind.values()) {
			commands.put(kind.commandName(), new Subcommand(kind));
		}
		return commands;
	}

	@Parameters(commandDescription = "Start this stand-in")
	private static final class Subcommand extends CommandLine.Command {

		@Parameter(names = "--config", description = "Settings file (TOML); every key has a default")
		private Path config;

		private final StandinKind kind;

		Subcommand(StandinKind kind) {
			this.kind = kind;
		}

	}

}
