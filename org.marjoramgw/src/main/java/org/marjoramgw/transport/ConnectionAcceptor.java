package org.marjoramgw.transport;

/**
 * Factory of handlers for new connections.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface ConnectionAcceptor {

	/**
	 * Creates the handler of a new connection.
	 * @param connection the connection; messages can be sent on it at once
	 * @return the handler that receives its messages
	 */
	ConnectionHandler accept(Connection connection);

}
