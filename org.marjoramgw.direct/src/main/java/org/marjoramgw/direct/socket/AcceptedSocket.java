package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.direct.caller.CallerSocket;

/**
 * Accepted socket that is read ahead, so that a disconnect is detected while a request is
 * in progress; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class AcceptedSocket implements CallerSocket {

	private static final Runnable NO_ACTION = () -> {
	};

	private final SocketAcceptor acceptor;

	private final SocketChannel channel;

	private final SelectionKey key;

	private final ReadAheadBuffer received = new ReadAheadBuffer();

	private final PendingWrite pendingWrite;

	private boolean flowTaken;

	private boolean ended;

	private boolean closing;

	private long closingSinceMillis;

	private Runnable onReceived = NO_ACTION;

	private Runnable onTaking = NO_ACTION;

	private Runnable onEnded = NO_ACTION;

	AcceptedSocket(SocketAcceptor acceptor, SocketChannel channel, SelectionKey key) {
		this.acceptor = acceptor;
		this.channel = channel;
		this.key = key;
		this.pendingWrite = new PendingWrite(channel);
	}

	/**
	 * Sets the action to run when bytes arrive or the connection ends.
	 * @param action the action, which replaces the previous one; runs immediately if
	 * there are bytes or the connection has ended
	 */
	public void whenReceived(Runnable action) {
		boolean due;
		synchronized (this) {
			this.onReceived = action;
			due = this.ended || this.received.isFinished() || !this.received.isEmpty();
		}
		if (due) {
			action.run();
		}
	}

	/**
	 * Sets the action to run each time received bytes are about to be taken.
	 * @param action the action, called with the lock of this socket
	 */
	public synchronized void whenTaking(Runnable action) {
		this.onTaking = action;
	}

	/**
	 * Sets the action to run once when the peer has closed the connection or it failed.
	 * @param action the action; runs immediately if the connection has already ended
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
		// The end may stand behind more bytes than one read returns.
		boolean mayHaveMore = read();
		while (mayHaveMore) {
			mayHaveMore = read();
		}
		synchronized (this) {
			return this.ended;
		}
	}

	@Override
	public void finishIf(BooleanSupplier condition) {
		read();
		Runnable action;
		synchronized (this) {
			if (this.received.isFinished() || !this.received.isEmpty() || !condition.getAsBoolean()) {
				return;
			}
			this.received.finish();
			action = this.flowTaken ? this.onReceived : this::closeGracefully;
		}
		action.run();
	}

	@Override
	public synchronized boolean isWriting() {
		return this.pendingWrite.isPending();
	}

	@Override
	public synchronized boolean isClosed() {
		return this.closing || this.ended;
	}

	/**
	 * Returns the connection as a flow, which can be run once.
	 * @return flow from the bytes to write to the bytes read
	 */
	public Flow<ByteString, ByteString, NotUsed> flow() {
		synchronized (this) {
			this.flowTaken = true;
		}
		return Flow.fromGraph(new SocketFlow(this));
	}

	/**
	 * Closes the connection unless its flow was taken, which closes it otherwise.
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
			// Further input from the peer is discarded.
			this.closing = true;
			this.closingSinceMillis = this.acceptor.nowMillis();
			this.received.finish();
			this.received.take();
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
	 * Closes the connection immediately.
	 */
	void close() {
		SocketAcceptor.closeQuietly(this.channel);
		discardUnwritten();
		markEnded();
	}

	/**
	 * Discards the bytes that are not written yet. The writer is notified, and fails if
	 * it writes again.
	 */
	private void discardUnwritten() {
		Runnable action;
		synchronized (this) {
			action = this.pendingWrite.discard();
		}
		action.run();
	}

	boolean isOpen() {
		return this.channel.isOpen();
	}

	/**
	 * Closes the connection if its peer keeps it open for too long after
	 * {@link #closeGracefully()}.
	 * @param closingSinceBeforeMillis the connection is closed if its graceful close
	 * began before this time
	 * @return whether the connection is closed now
	 */
	boolean closeIfClosingSinceBefore(long closingSinceBeforeMillis) {
		synchronized (this) {
			if (this.channel.isOpen() && this.closingSinceMillis > closingSinceBeforeMillis) {
				return false;
			}
		}
		close();
		return true;
	}

	/**
	 * Returns the received bytes without taking them.
	 * @return the bytes, may be empty
	 */
	public synchronized ByteString peek() {
		return this.received.peek();
	}

	/**
	 * Takes all received bytes.
	 * @return the bytes, may be empty
	 */
	ByteString take() {
		ByteString taken;
		boolean wasFull;
		synchronized (this) {
			wasFull = this.received.isFull();
			if (!this.received.isEmpty()) {
				this.onTaking.run();
			}
			taken = this.received.take();
		}
		if (wasFull) {
			this.acceptor.execute(this::updateInterest);
		}
		return taken;
	}

	/**
	 * Tells whether the input has ended and all received bytes were taken.
	 * @return whether there is nothing more to take
	 */
	synchronized boolean isExhausted() {
		return (this.ended || this.received.isFinished()) && this.received.isEmpty();
	}

	/**
	 * Writes bytes. Only one write may be pending at a time.
	 * @param bytes the bytes
	 * @param whenWritten called when the bytes were written or discarded, unless they
	 * were written immediately
	 * @return whether the bytes were written immediately
	 * @throws IOException if the connection failed
	 */
	boolean write(ByteString bytes, Runnable whenWritten) throws IOException {
		synchronized (this) {
			if (this.pendingWrite.start(bytes, whenWritten)) {
				return true;
			}
		}
		this.acceptor.execute(this::updateInterest);
		return false;
	}

	/**
	 * Performs the operations for which the socket is ready; called by the reading
	 * thread.
	 * @param operations ready operations of the selection key
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
		boolean failed = false;
		synchronized (this) {
			try {
				action = this.pendingWrite.resume();
			}
			catch (IOException ex) {
				// The writer is notified when the connection is closed.
				failed = true;
			}
		}
		// Runs outside the lock because actions acquire locks of their own.
		if (failed) {
			close();
		}
		action.run();
	}

	/**
	 * Reads once.
	 * @return whether bytes were received, so that there may be more
	 */
	private boolean read() {
		Runnable action = NO_ACTION;
		boolean hasReceived;
		boolean endReached;
		synchronized (this) {
			if (this.ended || this.received.isFull()) {
				return false;
			}
			int before = this.received.length();
			endReached = readOnce();
			hasReceived = this.received.length() > before;
			if (hasReceived) {
				action = this.onReceived;
			}
		}
		action.run();
		if (endReached) {
			markEnded();
		}
		return hasReceived;
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
			return this.acceptor.read(this.channel, this.received::add) < 0;
		}
		catch (IOException ex) {
			// A reset is treated like an orderly close, since nothing is owed to the
			// peer.
			return true;
		}
	}

	private boolean shutdownOutput() {
		try {
			this.channel.shutdownOutput();
			return true;
		}
		catch (IOException ex) {
			// The connection is already closed.
			return false;
		}
	}

	private void updateInterest() {
		synchronized (this) {
			if (!this.key.isValid()) {
				return;
			}
			int reading = (this.ended || this.received.isFull()) ? 0 : SelectionKey.OP_READ;
			int writing = this.pendingWrite.isPending() ? SelectionKey.OP_WRITE : 0;
			this.key.interestOps(reading | writing);
		}
	}

}
