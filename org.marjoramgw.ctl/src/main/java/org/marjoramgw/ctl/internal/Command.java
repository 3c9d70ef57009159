package org.marjoramgw.ctl.internal;

import com.beust.jcommander.ParametersDelegate;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.program.CommandLine;

/**
 * Subcommand of the operators' command-line tool.
 *
 * @author The marjoramgw authors
 */
public abstract class Command extends CommandLine.Command {

	private final String name;

	@ParametersDelegate
	private final CommonOptions options = new CommonOptions();

	/**
	 * Creates a subcommand.
	 * @param name name on the command line
	 */
	protected Command(String name) {
		this.name = name;
	}

	/**
	 * Returns the name of the subcommand on the command line.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the options that are common to all subcommands.
	 * @return the options
	 */
	public CommonOptions options() {
		return this.options;
	}

	/**
	 * Runs the command; its options must be parsed already.
	 * @param console destination of results, warnings and errors
	 * @return the exit code
	 * @throws CodedException if the command fails with a numbered result
	 */
	public abstract int run(Console console) throws CodedException;

}
