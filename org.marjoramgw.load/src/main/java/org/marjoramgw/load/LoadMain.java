package org.marjoramgw.load;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.StringJoiner;

import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.load.capacity.CapacityCommand;
import org.marjoramgw.program.CommandLine;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.rig.RigException;

/**
 * Entry point of the program {@code marjoramgw-load}, which runs experiments and shows
 * their results.
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
	 * Runs the program without exiting the JVM.
	 * @param arguments command-line arguments
	 * @return the exit code
	 */
	static int run(String... arguments) {
		return new CommandLine(NAME, System.out, System.err).runCommand(commands(), LoadMain::run, arguments);
	}

	private static int run(LoadCommand command) throws InvalidTomlException {
		try {
			command.run();
			return ExitCode.OK;
		}
		catch (IOException | RigException ex) {
			System.err.println(NAME + ": " + messageWithCauses(ex));
			return ExitCode.FAILURE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
	}

	/**
	 * Joins the messages of an exception and its causes. The message of the outermost
	 * exception alone doesn't tell whether a process failed to start or was refused.
	 * @param ex the exception
	 * @return the messages, separated by colons, outermost first
	 */
	static String messageWithCauses(Throwable ex) {
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

}
