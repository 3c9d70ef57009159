package org.marjoramgw.load.capacity;

import java.io.IOException;

import org.marjoramgw.rig.RigException;

/**
 * One of the measurements of the {@code capacity} subcommand.
 *
 * @author The marjoramgw authors
 */
interface Measurement {

	/**
	 * Returns the title.
	 * @return the title, which describes what is measured
	 */
	String title();

	/**
	 * Starts the required processes, takes the measurement and stops the processes.
	 * @return the measured points, as a Markdown table
	 * @throws IOException if a process can't be sampled
	 * @throws RigException if a process can't be started or controlled
	 * @throws InterruptedException if the thread is interrupted
	 */
	String measure() throws IOException, RigException, InterruptedException;

}
