package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.HostPort;
import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.program.Pause;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.tinylog.Logger;

/**
 * Listens on one address, accepts sockets and reads from them in one thread; thread-safe.
 * <p>
 * Depends on the class library only, so that a process can listen before its actor system
 * exists. A caller that connects during startup waits instead of being refused. Sockets
 * accepted by then are passed on by {@link #serve(Consumer)}.
 *
 * @author The marjoramgw authors
 */
public final class SocketAcceptor implements AutoCloseable {

	/** Maximum length of the queue of connections that are not accepted yet. */
	private static final int BACKLOG = 512;

	/**
	 * Connections that are accepted before others are read. The descriptors of closed
	 * ones are released in between.
	 */
	private static final int MAX_ACCEPTED_AT_ONCE = 32;

	/** Size of the read buffer. */
	private static final int READ_BYTES = 32 << 10;

	/** Pause after a failed accept, usually caused by a lack of file descriptors. */
	private static final long ACCEPT_PAUSE_MILLIS = 50;

	private final ServerSocketChannel server;

	private final Selector selector;

	private final AgeClock clock;

	private final CallerBounds bounds;

	private final ByteBuffer buffer = ByteBuffer.allocateDirect(READ_BYTES);

	private final LingeringSockets lingering = new LingeringSockets();

	private final List<AcceptedSocket> unservedSockets = new ArrayList<>();

	private final AtomicLong acceptedCount = new AtomicLong();

	private final AtomicLong receivedBytes = new AtomicLong();

	private final SelectorLoop loop;

	private Consumer<AcceptedSocket> receiver;

	private SocketAcceptor(ServerSocketChannel server, Selector selector, AgeClock clock, CallerBounds bounds) {
		this.server = server;
		this.selector = selector;
		this.clock = clock;
		this.bounds = bounds;
		this.loop = new SelectorLoop(selector, this::onReady, this.lingering, () -> now().monotonicMillis());
	}

	/**
	 * Starts listening.
	 * @param address address to listen on
	 * @param clock clock of the arrival of requests
	 * @return the acceptor, which already accepts and reads
	 * @throws IOException if the address can't be bound
	 */
	public static SocketAcceptor bind(HostPort address, AgeClock clock) throws IOException {
		return bind(address, clock, CallerBounds.unlimited());
	}

	/**
	 * Starts listening.
	 * @param address address to listen on
	 * @param clock clock of the arrival of requests
	 * @param bounds bounds of what is held for callers
	 * @return the acceptor, which already accepts and reads
	 * @throws IOException if the address can't be bound
	 */
	public static SocketAcceptor bind(HostPort address, AgeClock clock, CallerBounds bounds) throws IOException {
		ServerSocketChannel server = ServerSocketChannel.open();
		server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		server.bind(address.toSocketAddress(), BACKLOG);
		server.configureBlocking(false);
		Selector selector = Selector.open();
		server.register(selector, SelectionKey.OP_ACCEPT);
		SocketAcceptor acceptor = new SocketAcceptor(server, selector, clock, bounds);
		new DaemonThreadFactory("callers").newThread(acceptor::run).start();
		return acceptor;
	}

	/**
	 * Returns the local address.
	 * @return the address with the bound port
	 * @throws IOException if the acceptor is no longer listening
	 */
	public HostPort address() throws IOException {
		InetSocketAddress bound = (InetSocketAddress) this.server.getLocalAddress();
		return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
	}

	/**
	 * Returns the number of connections accepted since the start.
	 * @return number of connections
	 */
	public long acceptedCount() {
		return this.acceptedCount.get();
	}

	/**
	 * Returns the number of bytes read from all connections since the start.
	 * @return number of bytes
	 */
	public long receivedBytes() {
		return this.receivedBytes.get();
	}

	/**
	 * Passes all accepted sockets to a receiver, including those accepted before this
	 * call.
	 * @param receiver receiver of the sockets, called in the reading thread; must not
	 * block
	 * @return completes when the sockets accepted before were passed on
	 */
	public CompletionStage<Void> serve(Consumer<AcceptedSocket> receiver) {
		CompletableFuture<Void> passedOn = new CompletableFuture<>();
		execute(() -> {
			this.receiver = receiver;
			this.unservedSockets.forEach((socket) -> SelectorLoop.runGuarded(() -> receiver.accept(socket)));
			this.unservedSockets.clear();
			passedOn.complete(null);
		});
		return passedOn;
	}

	/**
	 * Accepts the connections that wait to be accepted, then stops listening. Accepted
	 * sockets stay open.
	 */
	public void stopAccepting() {
		execute(() -> {
			accept(Integer.MAX_VALUE);
			closeQuietly(this.server);
		});
	}

	/**
	 * Tells whether further connections may be accepted.
	 * @return whether this acceptor listens
	 */
	public boolean isAccepting() {
		return this.server.isOpen();
	}

	/**
	 * Returns the memory of what is held for callers.
	 * @return the budget
	 */
	public MemoryBudget memory() {
		return this.bounds.memory();
	}

	/**
	 * Tells whether more sockets are held than are allowed, or no memory is left for
	 * them. Called in the reading thread.
	 * @return whether sockets have to be closed
	 */
	public boolean isOverBounds() {
		return this.selector.keys().size() > this.bounds.maxSockets() || !memory().hasRoom();
	}

	/**
	 * Stops listening and closes all sockets.
	 */
	@Override
	public void close() {
		this.loop.stop();
	}

	/**
	 * Runs a task in the reading thread.
	 * @param task the task
	 */
	void execute(Runnable task) {
		this.loop.execute(task);
	}

	/**
	 * Closes a socket when its peer has closed it or the linger time has elapsed.
	 * @param socket a socket whose output is shut down
	 */
	void linger(AcceptedSocket socket) {
		long sinceMillis = now().monotonicMillis();
		execute(() -> this.lingering.add(socket, sinceMillis));
	}

	/**
	 * Reads from a channel.
	 * @param channel the channel
	 * @param sink consumer of the buffer with the bytes read
	 * @return number of bytes read, -1 at the end of the stream
	 * @throws IOException if the connection failed
	 */
	int read(SocketChannel channel, Consumer<ByteBuffer> sink) throws IOException {
		synchronized (this.buffer) {
			this.buffer.clear();
			int count = channel.read(this.buffer);
			if (count > 0) {
				this.receivedBytes.addAndGet(count);
				sink.accept(this.buffer.flip());
			}
			return count;
		}
	}

	/**
	 * Returns the present time.
	 * @return time of the monotonic clock, in milliseconds
	 */
	public long nowMillis() {
		return now().monotonicMillis();
	}

	ClockReading now() {
		return this.clock.now();
	}

	private void run() {
		try {
			this.loop.run();
		}
		finally {
			closeQuietly(this.server);
			this.loop.closeAll();
		}
	}

	private void onReady(SelectionKey key) {
		if (key.isAcceptable()) {
			accept(MAX_ACCEPTED_AT_ONCE);
		}
		else {
			((AcceptedSocket) key.attachment()).onSelected(key.readyOps());
		}
	}

	private void accept(int maxCount) {
		try {
			SocketChannel channel = this.server.accept();
			for (int count = 1; channel != null; count++) {
				register(channel);
				channel = (count < maxCount) ? this.server.accept() : null;
			}
		}
		catch (IOException ex) {
			Logger.warn("can't accept a connection: {}", ex.toString());
			Pause.millis(ACCEPT_PAUSE_MILLIS);
		}
	}

	private void register(SocketChannel channel) {
		this.acceptedCount.incrementAndGet();
		try {
			channel.configureBlocking(false);
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
			SelectionKey key = channel.register(this.selector, SelectionKey.OP_READ);
			AcceptedSocket socket = new AcceptedSocket(this, channel, key);
			key.attach(socket);
			// Bytes that already lie there arrived no later than now.
			socket.onSelected(SelectionKey.OP_READ);
			if (this.receiver != null) {
				this.receiver.accept(socket);
			}
			else if (isOverBounds()) {
				socket.close();
			}
			else {
				this.unservedSockets.add(socket);
			}
		}
		catch (IOException ex) {
			Logger.warn("can't set up an accepted connection: {}", ex.toString());
			closeQuietly(channel);
		}
	}

	static void closeQuietly(AutoCloseable closeable) {
		try {
			closeable.close();
		}
		catch (Exception ex) {
			Logger.debug("close failed: {}", ex.toString());
		}
	}

}
