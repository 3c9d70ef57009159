package org.marjoramgw.transport;

import java.util.concurrent.CompletionStage;

import org.marjoramgw.HostPort;

/**
 * Transport of messages over framed connections between the system's own processes.
 *
 * @author The marjoramgw authors
 */
public interface Transport {

	/**
	 * Binds a listening socket and accepts connections on it.
	 * @param address address to bind; port 0 picks any free port
	 * @param acceptor creates the handler of each accepted connection
	 * @return stage that completes with the bound address
	 */
	CompletionStage<HostPort> listen(HostPort address, ConnectionAcceptor acceptor);

	/**
	 * Opens a connection. A failure to connect is reported to the handler by
	 * {@link ConnectionHandler#onClosed}.
	 * @param address address of the peer
	 * @param acceptor creates the handler of the connection
	 */
	void connect(HostPort address, ConnectionAcceptor acceptor);

}
