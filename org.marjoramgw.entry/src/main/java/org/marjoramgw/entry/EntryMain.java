package org.marjoramgw.entry;

import org.marjoramgw.program.ProgramLauncher;

/**
 * Main class of the program {@code marjoramgw-entry}.
 *
 * @author The marjoramgw authors
 */
public final class EntryMain {

	private EntryMain() {
	}

	/**
	 * Runs the program.
	 * @param arguments command-line arguments
	 */
	public static void main(String[] arguments) {
		ProgramLauncher program = new ProgramLauncher("marjoramgw-entry",
				(table) -> new EntryProcess(EntrySettings.read(table)).run());
		int exitCode = program.run(arguments);
		if (exitCode != 0) {
			System.exit(exitCode);
		}
	}

}
