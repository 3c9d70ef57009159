package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.direct.caller.CallerSocket;

/**
 * Accepted socket that is read ahead, so that the end of its connection is known while a
 * request of it is under way; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class AcceptedSocket implements CallerSocket {

	/** Received bytes that are kept; the socket is not read while there are more. */
	private static final int READ_AHEAD_BYTES = 128 << 10;

	private static final Runnable NO_ACTION = () -> {
	};

	private final SocketAcceptor acceptor;

	private final SocketChannel channel;

	private final SelectionKey key;

	private ByteString received = ByteString.emptyByteString();

	private ByteBuffer unwritten = ByteBuffer.allocate(0);

	private boolean flowTaken;

	private boolean ended;

	private boolean closing;

	private long closingSinceMillis;

	private Runnable onReceived = NO_ACTION;

	private Runnable onWritten = NO_ACTION;

	private Runnable onEnded = NO_ACTION;

	AcceptedSocket(SocketAcceptor acceptor, SocketChannel channel, SelectionKey key) {
		this.acceptor = acceptor;
		this.channel = channel;
		this.key = key;
	}

	/**
	 * Sets what happens when bytes arrive, or at the end; at once if they are there.
	 * @param action what is done; it replaces the action that was set before
	 */
	public void whenReceived(Runnable action) {
		boolean due;
		synchronized (this) {
			this.onReceived = action;
			due = this.ended || this.received.nonEmpty();
		}
		if (due) {
			action.run();
		}
	}

	/**
	 * Sets what happens when the peer has closed the connection or it broke; at once if
	 * that happened before.
	 * @param action what is done, once
	 */
	public void whenEnded(Runnable action) {
		synchronized (this) {
			if (!this.ended) {
				this.onEnded = action;
				return;
			}
		}
		action.run();
	}

	@Override
	public boolean hasEnded() {
		read();
		synchronized (this) {
			return this.ended;
		}
	}

	@Override
	public boolean hasUnreadBytes() {
		read();
		synchronized (this) {
			return this.received.nonEmpty();
		}
	}

	/**
	 * Returns the bytes of the connection as a flow, which can be run once.
	 * @return flow from the bytes to write to the bytes that are read
	 */
	public Flow<ByteString, ByteString, NotUsed> flow() {
		synchronized (this) {
			this.flowTaken = true;
		}
		return Flow.fromGraph(new SocketFlow(this));
	}

	/**
	 * Ends the connection from this side if nobody took its flow, which would end it.
	 */
	public void closeIfUnused() {
		synchronized (this) {
			if (this.flowTaken) {
				return;
			}
		}
		closeGracefully();
	}

	@Override
	public void closeGracefully() {
		synchronized (this) {
			if (this.closing) {
				return;
			}
			// What the peer still sends is discarded.
			this.closing = true;
			this.closingSinceMillis = this.acceptor.nowMillis();
			this.received = ByteString.emptyByteString();
		}
		discardUnwritten();
		if (hasEnded() || !shutdownOutput()) {
			close();
		}
		else {
			this.acceptor.linger(this);
		}
	}

	/**
	 * Closes the connection at once.
	 */
	void close() {
		SocketAcceptor.closeQuietly(this.channel);
		discardUnwritten();
		markEnded();
	}

	/**
	 * Gives up what is unwritten; its writer goes on, and fails if it writes more.
	 */
	private void discardUnwritten() {
		Runnable action;
		synchronized (this) {
			this.unwritten = ByteBuffer.allocate(0);
			action = this.onWritten;
			this.onWritten = NO_ACTION;
		}
		action.run();
	}

	boolean isOpen() {
		return this.channel.isOpen();
	}

	/**
	 * Closes a finished connection that its peer keeps open for too long.
	 * @param finishedBeforeMillis connections finished before this time are closed
	 * @return whether it is closed now
	 */
	boolean closeIfClosingSinceBefore(long finishedBeforeMillis) {
		synchronized (this) {
			if (this.channel.isOpen() && this.closingSinceMillis > finishedBeforeMillis) {
				return false;
			}
		}
		close();
		return true;
	}

	/**
	 * Returns the bytes that were received and not taken yet, which stay.
	 * @return the bytes, empty if there are none
	 */
	public synchronized ByteString peek() {
		return this.received;
	}

	/**
	 * Takes all bytes that were received.
	 * @return the bytes, empty if there are none
	 */
	ByteString take() {
		ByteString taken;
		boolean wasFull;
		synchronized (this) {
			taken = this.received;
			wasFull = isFull();
			this.received = ByteString.emptyByteString();
		}
		if (wasFull) {
			this.acceptor.execute(this::updateInterest);
		}
		return taken;
	}

	/**
	 * Tells whether the end was reached and all bytes before it were taken.
	 * @return whether nothing more will come
	 */
	synchronized boolean isExhausted() {
		return this.ended && this.received.isEmpty();
	}

	/**
	 * Writes bytes; only one write at a time.
	 * @param bytes the bytes
	 * @param whenWritten called once they are written or given up, if that is not at once
	 * @return whether they were written at once
	 * @throws IOException if the connection broke
	 */
	boolean write(ByteString bytes, Runnable whenWritten) throws IOException {
		synchronized (this) {
			this.unwritten = bytes.toByteBuffer();
			this.channel.write(this.unwritten);
			if (!this.unwritten.hasRemaining()) {
				return true;
			}
			this.onWritten = whenWritten;
		}
		this.acceptor.execute(this::updateInterest);
		return false;
	}

	/**
	 * Acts on what the system says of the socket; called by the thread that reads.
	 * @param operations operations that are possible now
	 */
	void onSelected(int operations) {
		if ((operations & SelectionKey.OP_WRITE) != 0) {
			writeRemaining();
		}
		if ((operations & SelectionKey.OP_READ) != 0) {
			read();
		}
		updateInterest();
	}

	private void writeRemaining() {
		Runnable action = NO_ACTION;
		boolean broken = false;
		synchronized (this) {
			try {
				this.channel.write(this.unwritten);
			}
			catch (IOException ex) {
				// Whoever writes learns it from the end of the connection.
				broken = true;
			}
			if (!broken && !this.unwritten.hasRemaining()) {
				action = this.onWritten;
				this.onWritten = NO_ACTION;
			}
		}
		// Outside the lock: actions take locks of their own.
		if (broken) {
			close();
		}
		action.run();
	}

	private void read() {
		Runnable action = NO_ACTION;
		boolean over;
		synchronized (this) {
			if (this.ended || isFull()) {
				return;
			}
			int before = this.received.size();
			over = readOnce();
			if (this.received.size() > before) {
				action = this.onReceived;
			}
		}
		action.run();
		if (over) {
			markEnded();
		}
	}

	private void markEnded() {
		Runnable afterEnd;
		Runnable afterReceived;
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			afterEnd = this.onEnded;
			afterReceived = this.onReceived;
			this.onEnded = NO_ACTION;
		}
		if (isClosing()) {
			close();
		}
		afterEnd.run();
		afterReceived.run();
	}

	private synchronized boolean isClosing() {
		return this.closing;
	}

	private boolean readOnce() {
		try {
			return this.acceptor.read(this.channel, this::appendReceived) < 0;
		}
		catch (IOException ex) {
			// A reset is an end like another: nothing was promised to the peer.
			return true;
		}
	}

	private void appendReceived(ByteBuffer bytes) {
		if (!this.closing) {
			this.received = this.received.concat(ByteString.fromByteBuffer(bytes));
		}
	}

	private boolean shutdownOutput() {
		try {
			this.channel.shutdownOutput();
			return true;
		}
		catch (IOException ex) {
			// The connection is gone already.
			return false;
		}
	}

	private void updateInterest() {
		synchronized (this) {
			if (!this.key.isValid()) {
				return;
			}
			int reading = (this.ended || isFull()) ? 0 : SelectionKey.OP_READ;
			int writing = this.unwritten.hasRemaining() ? SelectionKey.OP_WRITE : 0;
			this.key.interestOps(reading | writing);
		}
	}

	private boolean isFull() {
		return this.received.size() >= READ_AHEAD_BYTES;
	}

}
