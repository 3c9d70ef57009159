package org.marjoramgw.standin.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.marjoramgw.HostPort;

/**
 * Listening address of the proxy with the target that it forwards to.
 *
 * @author The marjoramgw authors
 */
public final class Link implements AutoCloseable {

	private static final int BACKLOG_CONNECTIONS = 256;

	private static final long ACCEPTOR_JOIN_TIMEOUT_MILLIS = 1_000;

	private final String name;

	private final HostPort target;

	private final ByteLimit upLimit = new ByteLimit();

	private final ByteLimit downLimit = new ByteLimit();

	private final Set<LinkConnection> connections = ConcurrentHashMap.newKeySet();

	private HostPort listen;

	private ServerSocket server;

	private Thread acceptor;

	private Socket reservedSocket;

	private volatile LinkMode mode = LinkMode.PASS;

	private volatile long delayMillis;

	Link(String name, HostPort listen, HostPort target) throws IOException {
		this.name = name;
		this.target = target;
		this.listen = listen;
		bind();
	}

	/**
	 * Returns the name of the link.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the address that the link listens on.
	 * @return the bound address
	 */
	public synchronized HostPort address() {
		return this.listen;
	}

	/**
	 * Applies fault settings.
	 * @param control the faults
	 * @throws IOException if the address can't be bound again
	 */
	public synchronized void control(LinkControl control) throws IOException {
		if (control.delayMs() != null) {
			this.delayMillis = control.delayMs();
		}
		if (control.cutAfterBytesUp() != null) {
			this.upLimit.set(control.cutAfterBytesUp());
		}
		if (control.cutAfterBytesDown() != null) {
			this.downLimit.set(control.cutAfterBytesDown());
		}
		if (Boolean.TRUE.equals(control.swallowExisting())) {
			this.connections.forEach(LinkConnection::startDropping);
		}
		if (control.mode() != null) {
			switchMode(control.mode());
		}
	}

	/**
	 * Returns the state of the link.
	 * @return the state
	 */
	public LinkState state() {
		return new LinkState(this.name, address().toString(), this.target.toString(), this.mode,
				this.connections.size(), this.upLimit.forwardedBytes(), this.downLimit.forwardedBytes());
	}

	@Override
	public synchronized void close() throws IOException {
		unbind();
		releaseAddress();
		closeConnections();
	}

	HostPort target() {
		return this.target;
	}

	boolean dropsBytes() {
		return this.mode == LinkMode.SWALLOW;
	}

	long delayMillis() {
		return this.delayMillis;
	}

	ByteLimit upLimit() {
		return this.upLimit;
	}

	ByteLimit downLimit() {
		return this.downLimit;
	}

	void remove(LinkConnection connection) {
		this.connections.remove(connection);
	}

	private void switchMode(LinkMode newMode) throws IOException {
		this.mode = newMode;
		switch (newMode) {
			case CUT -> {
				bind();
				closeConnections();
			}
			case REFUSE -> {
				unbind();
				reserveAddress();
				closeConnections();
			}
			default -> bind();
		}
	}

	private void closeConnections() {
		this.connections.forEach(LinkConnection::close);
	}

	private void bind() throws IOException {
		if (this.server != null) {
			return;
		}
		releaseAddress();
		ServerSocket bound = new ServerSocket();
		bound.setReuseAddress(true);
		bound.bind(socketAddress(), BACKLOG_CONNECTIONS);
		this.server = bound;
		this.listen = new HostPort(this.listen.host(), bound.getLocalPort());
		this.acceptor = Threads.start("proxy-" + this.name, () -> accept(bound));
	}

	private void unbind() throws IOException {
		if (this.server != null) {
			this.server.close();
			this.server = null;
			awaitAcceptor();
		}
	}

	// The operating system keeps listening until the pending accept() has returned
	private void awaitAcceptor() {
		try {
			this.acceptor.join(ACCEPTOR_JOIN_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Binds the port without listening: otherwise the operating system could assign it
	// to another process while the link refuses connections
	private void reserveAddress() throws IOException {
		if (this.reservedSocket == null) {
			Socket socket = new Socket();
			socket.setReuseAddress(true);
			socket.bind(socketAddress());
			this.reservedSocket = socket;
		}
	}

	private void releaseAddress() throws IOException {
		if (this.reservedSocket != null) {
			this.reservedSocket.close();
			this.reservedSocket = null;
		}
	}

	private InetSocketAddress socketAddress() {
		return new InetSocketAddress(this.listen.host(), this.listen.port());
	}

	private void accept(ServerSocket bound) {
		while (!bound.isClosed()) {
			try {
				Socket client = bound.accept();
				LinkConnection connection = new LinkConnection(this, client);
				this.connections.add(connection);
				Threads.start("proxy-" + this.name + "-up", connection::open);
			}
			catch (IOException ex) {
				// Either the server socket was closed, which ends the loop, or a single
				// accept failed
			}
		}
	}

}
