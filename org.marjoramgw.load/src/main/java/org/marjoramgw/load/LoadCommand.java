package org.marjoramgw.load;

import java.io.IOException;

import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.program.CommandLine;
import org.marjoramgw.rig.RigException;

/**
 * Subcommand of the load tool.
 *
 * @author The marjoramgw authors
 */
public abstract class LoadCommand extends CommandLine.Command {

	/**
	 * Runs the subcommand.
	 * @throws IOException if a file can't be read or written
	 * @throws InvalidTomlException if a TOML file is invalid
	 * @throws RigException if a deployment can't be started or controlled
	 * @throws InterruptedException if the thread is interrupted
	 */
	public abstract void run() throws IOException, InvalidTomlException, RigException, InterruptedException;

}
