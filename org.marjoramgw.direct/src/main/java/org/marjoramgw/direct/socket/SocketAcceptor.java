package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.program.Pause;
import org.tinylog.Logger;

/**
 * Listens on one address and reads what arrives on accepted sockets; thread-safe.
 * <p>
 * It needs nothing but the class library, so that a process can listen before the actor
 * system exists: a caller that connects meanwhile waits a moment instead of being turned
 * away. Sockets accepted so early are handed over by {@link #serve(Consumer)}.
 *
 * @author The marjoramgw authors
 */
public final class SocketAcceptor implements AutoCloseable {

	/** Connections that the system may keep waiting before they are accepted. */
	private static final int BACKLOG = 512;

	/** Bytes that are read from a socket at once. */
	private static final int READ_BYTES = 32 << 10;

	/**
	 * Longest time that a peer may take to close a connection that was ended from this
	 * side, in milliseconds. Closing it at once could discard bytes under way to it.
	 */
	private static final long LINGER_MILLIS = 1_000;

	/** Interval at which ended connections are looked at, in milliseconds. */
	private static final long LINGER_CHECK_MILLIS = 200;

	/** Pause after a failure to accept, which is mostly a lack of descriptors. */
	private static final long ACCEPT_PAUSE_MILLIS = 50;

	private final ServerSocketChannel server;

	private final Selector selector;

	private final MillisClock clock;

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	private final ByteBuffer buffer = ByteBuffer.allocateDirect(READ_BYTES);

	private final Set<AcceptedSocket> lingering = new LinkedHashSet<>();

	private final List<AcceptedSocket> unservedSockets = new ArrayList<>();

	private Consumer<AcceptedSocket> receiver;

	private volatile boolean closed;

	private SocketAcceptor(ServerSocketChannel server, Selector selector, MillisClock clock) {
		this.server = server;
		this.selector = selector;
		this.clock = clock;
	}

	/**
	 * Starts listening.
	 * @param address where to listen
	 * @param clock monotonic clock
	 * @return the acceptor, which accepts and reads from now on
	 * @throws IOException if the address can't be bound
	 */
	public static SocketAcceptor bind(HostPort address, MillisClock clock) throws IOException {
		ServerSocketChannel server = ServerSocketChannel.open();
		server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		server.bind(address.toSocketAddress(), BACKLOG);
		server.configureBlocking(false);
		Selector selector = Selector.open();
		server.register(selector, SelectionKey.OP_ACCEPT);
		SocketAcceptor acceptor = new SocketAcceptor(server, selector, clock);
		new DaemonThreadFactory("callers").newThread(acceptor::run).start();
		return acceptor;
	}

	/**
	 * Returns where it listens.
	 * @return the address with the port that was really bound
	 * @throws IOException if it listens no more
	 */
	public HostPort address() throws IOException {
		InetSocketAddress bound = (InetSocketAddress) this.server.getLocalAddress();
		return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
	}

	/**
	 * Hands over all sockets: those accepted already, and each that follows.
	 * @param receiver gets each socket in the thread that reads; it must not block
	 */
	public void serve(Consumer<AcceptedSocket> receiver) {
		execute(() -> {
			this.receiver = receiver;
			this.unservedSockets.forEach(receiver);
			this.unservedSockets.clear();
		});
	}

	/**
	 * Stops listening; accepted sockets go on.
	 */
	public void stopAccepting() {
		execute(() -> closeQuietly(this.server));
	}

	/**
	 * Stops listening and closes all sockets.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.selector.wakeup();
	}

	/**
	 * Runs a task in the thread that reads.
	 * @param task the task
	 */
	void execute(Runnable task) {
		this.tasks.add(task);
		this.selector.wakeup();
	}

	/**
	 * Closes a socket once its peer has done so, or some time from now.
	 * @param socket a socket to which nothing more is written
	 */
	void linger(AcceptedSocket socket) {
		execute(() -> {
			if (socket.isOpen()) {
				this.lingering.add(socket);
			}
		});
	}

	/**
	 * Reads from a channel.
	 * @param channel the channel
	 * @param sink gets the buffer, ready to be read from
	 * @return how many bytes were read, -1 at the end
	 * @throws IOException if the connection broke
	 */
	int read(SocketChannel channel, Consumer<ByteBuffer> sink) throws IOException {
		synchronized (this.buffer) {
			this.buffer.clear();
			int count = channel.read(this.buffer);
			if (count > 0) {
				sink.accept(this.buffer.flip());
			}
			return count;
		}
	}

	long nowMillis() {
		return this.clock.nowMillis();
	}

	private void run() {
		try {
			while (!this.closed) {
				this.selector.select(this.lingering.isEmpty() ? 0 : LINGER_CHECK_MILLIS);
				runTasks();
				handleSelected();
				closeLingering();
			}
		}
		catch (IOException ex) {
			Logger.error(ex, "callers' sockets can't be watched any more");
		}
		finally {
			closeAll();
		}
	}

	private void runTasks() {
		Runnable task = this.tasks.poll();
		while (task != null) {
			runGuarded(task);
			task = this.tasks.poll();
		}
	}

	private void handleSelected() {
		Iterator<SelectionKey> selected = this.selector.selectedKeys().iterator();
		while (selected.hasNext()) {
			SelectionKey key = selected.next();
			selected.remove();
			runGuarded(() -> onSelected(key));
		}
	}

	private void onSelected(SelectionKey key) {
		if (!key.isValid()) {
			return;
		}
		if (key.isAcceptable()) {
			accept();
		}
		else {
			((AcceptedSocket) key.attachment()).onSelected(key.readyOps());
		}
	}

	// Keeps a failure over one socket from the others, which this thread serves too.
	private static void runGuarded(Runnable action) {
		try {
			action.run();
		}
		catch (CancelledKeyException ex) {
			Logger.debug("a socket was closed while it was looked at");
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "an action on a caller's socket failed");
		}
	}

	private void accept() {
		try {
			SocketChannel channel = this.server.accept();
			while (channel != null) {
				register(channel);
				channel = this.server.accept();
			}
		}
		catch (IOException ex) {
			Logger.warn("a connection can't be accepted: {}", ex.toString());
			Pause.millis(ACCEPT_PAUSE_MILLIS);
		}
	}

	private void register(SocketChannel channel) {
		try {
			channel.configureBlocking(false);
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
			SelectionKey key = channel.register(this.selector, SelectionKey.OP_READ);
			AcceptedSocket socket = new AcceptedSocket(this, channel, key);
			key.attach(socket);
			if (this.receiver != null) {
				this.receiver.accept(socket);
			}
			else {
				this.unservedSockets.add(socket);
			}
		}
		catch (IOException ex) {
			Logger.warn("an accepted connection can't be used: {}", ex.toString());
			closeQuietly(channel);
		}
	}

	private void closeLingering() {
		long finishedBefore = nowMillis() - LINGER_MILLIS;
		this.lingering.removeIf((socket) -> socket.closeIfClosingSinceBefore(finishedBefore));
	}

	private void closeAll() {
		closeQuietly(this.server);
		for (SelectionKey key : this.selector.keys()) {
			closeQuietly(key.channel());
		}
		closeQuietly(this.selector);
	}

	static void closeQuietly(AutoCloseable closeable) {
		try {
			closeable.close();
		}
		catch (Exception ex) {
			Logger.debug("closing failed: {}", ex.toString());
		}
	}

}
