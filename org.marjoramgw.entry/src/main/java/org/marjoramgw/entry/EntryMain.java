package org.marjoramgw.entry;

import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.program.Lifecycle;
import org.marjoramgw.program.LifecycleSignals;
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
		Lifecycle lifecycle = LifecycleSignals.install(new SystemMillisClock());
		ProgramLauncher program = new ProgramLauncher("marjoramgw-entry",
				(table) -> new EntryProcess(EntrySettings.read(table), lifecycle).run());
		int exitCode = program.run(arguments);
		if (exitCode != 0) {
			System.exit(exitCode);
		}
	}

}
