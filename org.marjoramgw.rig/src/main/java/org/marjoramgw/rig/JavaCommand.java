package org.marjoramgw.rig;

import java.io.File;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Command that starts a main class with the Java runtime and class path of this process
 * and the options of a launch script.
 *
 * @author The marjoramgw authors
 */
public final class JavaCommand {

	/** Options file of the long-running programs. */
	public static final String DAEMON_OPTIONS = "daemon.jvmopts";

	/** Options file of the tools and stand-ins. */
	public static final String TOOL_OPTIONS = "tool.jvmopts";

	private final Path repositoryRoot;

	/**
	 * Creates a command for the repository that this class was loaded from.
	 * @throws RigException if no directory above it has the options files
	 */
	public JavaCommand() throws RigException {
		this.repositoryRoot = findRoot();
	}

	/**
	 * Returns the root directory of the repository.
	 * @return the directory that holds {@code bin} and {@code conf}
	 */
	public Path repositoryRoot() {
		return this.repositoryRoot;
	}

	/**
	 * Builds a command line.
	 * @param optionsFile name of the file with the options of the Java runtime
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
		throw new RigException("no directory above the program holds bin/" + DAEMON_OPTIONS, null);
	}

	private static Path codeLocation() throws RigException {
		try {
			return Path.of(JavaCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI());
		}
		catch (URISyntaxException ex) {
			throw new RigException("location of the program's code can't be read", ex);
		}
	}

	/**
	 * Sends a signal to a process.
	 * @param pid id of a process that this rig started
	 * @param signal name of the signal, for example {@code STOP}
	 * @throws RigException if the signal could not be sent
	 */
	static void sendSignal(long pid, String signal) throws RigException {
		try {
			Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start();
			if (kill.waitFor() != 0) {
				throw new RigException("no signal " + signal + " to " + pid, null);
			}
		}
		catch (IOException ex) {
			throw new RigException("no signal " + signal + " to " + pid, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RigException("interrupted", ex);
		}
	}

}
