package org.marjoramgw.program;

/**
 * Process exit codes that all programs share.
 *
 * @author The marjoramgw authors
 */
public final class ExitCode {

	/** Success. */
	public static final int OK = 0;

	/** Runtime failure. */
	public static final int FAILURE = 1;

	/** Invalid options, settings or configuration. */
	public static final int USAGE = 2;

	private ExitCode() {
	}

}
