package org.marjoramgw.transport;

/**
 * Maker of the handler of a new connection.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface ConnectionAcceptor {

	/**
	 * Accepts a connection.
	 * @param connection the connection, open for sending at once
	 * @return the handler that receives its messages
	 */
	ConnectionHandler accept(Connection connection);

}
