package org.marjoramgw;

/**
 * Source of the current time in milliseconds.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface MillisClock {

	/**
	 * Returns the current time.
	 * @return milliseconds since the Unix epoch, never decreasing within a process
	 */
	long nowMillis();

}
