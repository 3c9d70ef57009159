package org.marjoramgw.rig;

import java.io.File;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds command lines that run a main class with the Java runtime and class path of this
 * process and the JVM options of the launch scripts.
 *
 * @author The marjoramgw authors
 */
public final class JavaCommand {

	/** JVM options file of the long-running programs. */
	public static final String DAEMON_OPTIONS = "daemon.jvmopts";

	/** JVM options file of the tools and stand-ins. */
	public static final String TOOL_OPTIONS = "tool.jvmopts";

	private final Path repositoryRoot;

	/**
	 * Creates a builder for the repository that contains the working directory or,
	 * failing that, the code of this class.
	 * @throws RigException if no parent directory contains the options files
	 */
	public JavaCommand() throws RigException {
		this.repositoryRoot = findRoot();
	}

	/**
	 * Returns the root directory of the repository.
	 * @return the directory that contains {@code bin} and {@code conf}
	 */
	public Path repositoryRoot() {
		return this.repositoryRoot;
	}

	/**
	 * Builds a command line.
	 * @param optionsFile name of the file with the JVM options
	 * @param mainClass the main class
	 * @param arguments arguments of the program
	 * @return the command line
	 */
	public List<String> commandLine(String optionsFile, String mainClass, List<String> arguments) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.add("@" + this.repositoryRoot.resolve("bin").resolve(optionsFile));
		command.add("-cp");
		command.add(System.getProperty("java.class.path"));
		command.add(mainClass);
		command.addAll(arguments);
		return command;
	}

	private static Path findRoot() throws RigException {
		for (Path start : List.of(Path.of(System.getProperty("user.dir")), codeLocation())) {
			for (Path directory = start.toAbsolutePath(); directory != null; directory = directory.getParent()) {
				if (Files.isRegularFile(directory.resolve("bin" + File.separator + DAEMON_OPTIONS))) {
					return directory;
				}
			}
		}
		throw new RigException("no parent directory of the program contains bin/" + DAEMON_OPTIONS, null);
	}

	private static Path codeLocation() throws RigException {
		try {
			return Path.of(JavaCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI());
		}
		catch (URISyntaxException ex) {
			throw new RigException("cannot determine the location of the program code", ex);
		}
	}

	/**
	 * Sends a signal to a process.
	 * @param pid id of a process started by this rig
	 * @param signal name of the signal, for example {@code STOP}
	 * @throws RigException if the signal cannot be sent
	 */
	static void sendSignal(long pid, String signal) throws RigException {
		try {
			Process process = new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start();
			if (process.waitFor() != 0) {
				throw new RigException("cannot send signal " + signal + " to process " + pid, null);
			}
		}
		catch (IOException ex) {
			throw new RigException("cannot send signal " + signal + " to process " + pid, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RigException("interrupted", ex);
		}
	}

}
