package org.marjoramgw.transport;

import java.util.concurrent.CompletionStage;

import org.marjoramgw.HostPort;

/**
 * Framed connections between the system's own processes.
 *
 * @author The marjoramgw authors
 */
public interface Transport {

	/**
	 * Listens for connections.
	 * @param address where to listen; port 0 takes any free port
	 * @param acceptor makes the handler of each accepted connection
	 * @return completes with the bound address
	 */
	CompletionStage<HostPort> listen(HostPort address, ConnectionAcceptor acceptor);

	/**
	 * Opens a connection; failure to connect is reported to the handler as a close.
	 * @param address the peer's address
	 * @param acceptor makes the handler of the connection
	 */
	void connect(HostPort address, ConnectionAcceptor acceptor);

}
