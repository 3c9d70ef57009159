package org.marjoramgw.standin;

import org.marjoramgw.HostPort;

/**
 * Running stand-in.
 *
 * @author The marjoramgw authors
 */
public interface Standin extends AutoCloseable {

	/**
	 * Returns the address of its HTTP endpoint.
	 * @return the bound address
	 */
	HostPort address();

	/**
	 * Stops the stand-in and aborts its connections.
	 */
	@Override
	void close();

}
