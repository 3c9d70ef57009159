package org.marjoramgw.program;

/**
 * Version of the programs.
 *
 * @author The marjoramgw authors
 */
public final class Version {

	/** Version text. */
	public static final String TEXT = "0.1.0";

	private Version() {
	}

}
