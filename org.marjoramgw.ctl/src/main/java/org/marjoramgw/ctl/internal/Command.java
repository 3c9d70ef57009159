package org.marjoramgw.ctl.internal;

import com.beust.jcommander.ParametersDelegate;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.program.CommandLine;

/**
 * One subcommand.
 *
 * @author The marjoramgw authors
 */
public abstract class Command extends CommandLine.Command {

	private final String name;

	@ParametersDelegate
	private final CommonOptions options = new CommonOptions();

	/**
	 * Creates a subcommand.
	 * @param name name that operators type
	 */
	protected Command(String name) {
		this.name = name;
	}

	/**
	 * Returns the name that operators type.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the options that every subcommand takes.
	 * @return the options
	 */
	public CommonOptions options() {
		return this.options;
	}

	/**
	 * Runs the command once its options are parsed.
	 * @param console where its result goes
	 * @return the exit code
	 * @throws CodedException if it fails with a numbered result
	 */
	public abstract int run(Console console) throws CodedException;

}
