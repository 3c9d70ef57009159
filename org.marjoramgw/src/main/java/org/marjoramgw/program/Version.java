package org.marjoramgw.program;

/**
 * Version of all programs.
 *
 * @author The marjoramgw authors
 */
public final class Version {

	/** The version that {@code --version} prints. */
	public static final String TEXT = "0.1.0";

	private Version() {
	}

}
