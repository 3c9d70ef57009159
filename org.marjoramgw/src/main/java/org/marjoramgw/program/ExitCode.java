package org.marjoramgw.program;

/**
 * Exit codes of every program.
 *
 * @author The marjoramgw authors
 */
public final class ExitCode {

	/** Success. */
	public static final int OK = 0;

	/** Failure while running. */
	public static final int FAILURE = 1;

	/** Wrong options, settings or configuration. */
	public static final int USAGE = 2;

	private ExitCode() {
	}

}
