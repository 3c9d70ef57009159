package org.marjoramgw.load.capacity;

import java.io.IOException;

import org.marjoramgw.rig.RigException;

/**
 * One measurement of the capacity page.
 *
 * @author The marjoramgw authors
 */
interface Measurement {

	/**
	 * Returns what is measured.
	 * @return the heading
	 */
	String title();

	/**
	 * Starts what it needs, measures and stops it again.
	 * @return the points as a Markdown table
	 * @throws IOException if a process can't be sampled
	 * @throws RigException if a process can't be started or controlled
	 * @throws InterruptedException if the thread is interrupted
	 */
	String measure() throws IOException, RigException, InterruptedException;

}
