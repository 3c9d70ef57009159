package org.marjoramgw.side;

import org.marjoramgw.program.ProgramLauncher;

/**
 * Entry point of the program {@code marjoramgw-side}.
 *
 * @author The marjoramgw authors
 */
public final class SideMain {

	private SideMain() {
	}

	/**
	 * Runs the program.
	 * @param arguments command-line arguments
	 */
	public static void main(String[] arguments) {
		ProgramLauncher program = new ProgramLauncher("marjoramgw-side",
				(table) -> new SideProcess(SideSettings.read(table)).run());
		int exitCode = program.run(arguments);
		if (exitCode != 0) {
			System.exit(exitCode);
		}
	}

}
