package org.marjoramgw.side;

import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.program.Lifecycle;
import org.marjoramgw.program.LifecycleSignals;
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
		Lifecycle lifecycle = LifecycleSignals.install(new SystemMillisClock());
		ProgramLauncher program = new ProgramLauncher("marjoramgw-side",
				(table) -> new SideProcess(SideSettings.read(table), lifecycle).run());
		int exitCode = program.run(arguments);
		if (exitCode != 0) {
			System.exit(exitCode);
		}
	}

}
