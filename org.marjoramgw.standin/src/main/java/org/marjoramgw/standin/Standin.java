package org.marjoramgw.standin;

import org.marjoramgw.HostPort;

/**
 * Running stand-in.
 *
 * @author The marjoramgw authors
 */
public interface Standin extends AutoCloseable {

	/**
	 * Returns where it listens.
	 * @return the bound address of its HTTP endpoint
	 */
	HostPort address();

	/**
	 * Stops it and breaks its connections off.
	 */
	@Override
	void close();

}
