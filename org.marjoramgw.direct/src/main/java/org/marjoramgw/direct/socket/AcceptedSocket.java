package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.direct.caller.CallerSocket;
import org.marjoramgw.direct.caller.RequestArrivals;
import org.marjoramgw.policy.memory.MemoryHolder;

/**
 * Accepted socket that is read ahead, so that a disconnect is detected while a request is
 * in progress; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class AcceptedSocket implements CallerSocket {

	private final SocketAcceptor acceptor;

	private final SocketMemory memory;

	private final CallerChannel channel;

	private final ReadAheadBuffer received;

	private final RequestArrivals arrivals;

	private final SocketActions actions = new SocketActions();

	private final PendingWrite pendingWrite;

	private boolean flowTaken;

	private boolean ended;

	private boolean closing;

	AcceptedSocket(SocketAcceptor acceptor, SocketChannel channel, SelectionKey key) {
		this.acceptor = acceptor;
		this.channel = new CallerChannel(acceptor, channel, key);
		this.arrivals = new RequestArrivals(acceptor.now());
		this.memory = new SocketMemory(acceptor.memory(), () -> acceptor.execute(this::retryAfterWait));
		this.received = new ReadAheadBuffer(this.memory);
		this.pendingWrite = new PendingWrite(channel, this.memory);
	}

	/**
	 * Sets the action to run when bytes arrive or the connection ends.
	 * @param action the action, which replaces the previous one; runs immediately if
	 * there are bytes or the connection has ended
	 */
	public void whenReceived(Runnable action) {
		boolean due;
		synchronized (this) {
			this.actions.setOnReceived(action);
			due = this.ended || this.received.isFinished() || !this.received.isEmpty();
		}
		if (due) {
			action.run();
		}
	}

	/**
	 * Sets the action to run each time received bytes are about to be taken.
	 * @param action the action, called with the bytes and the lock of this socket
	 */
	public synchronized void whenTaking(Consumer<ByteString> action) {
		this.actions.setOnTaking(action);
	}

	/**
	 * Sets the action to run once when the peer has closed the connection or it failed.
	 * @param action the action; runs immediately if the connection has already ended
	 */
	public void whenEnded(Runnable action) {
		synchronized (this) {
			if (!this.ended) {
				this.actions.setOnEnded(action);
				return;
			}
		}
		action.run();
	}

	@Override
	public boolean hasEnded() {
		while (read()) {
			// The end may stand behind more bytes than one read returns.
			continue;
		}
		synchronized (this) {
			return this.ended;
		}
	}

	@Override
	public RequestArrivals arrivals() {
		return this.arrivals;
	}

	@Override
	public MemoryHolder memory() {
		return this.memory.holder();
	}

	@Override
	public String peerAddress() {
		return this.channel.peerAddress();
	}

	/**
	 * Tells whether bytes were read or written since the last call.
	 * @return whether there were any
	 */
	public boolean takeActivity() {
		return this.memory.takeActivity();
	}

	/**
	 * Reads, and tells whether bytes wait to be taken.
	 * @return whether there are any
	 */
	public boolean hasUnread() {
		read();
		return !peek().isEmpty();
	}

	/**
	 * Answers the request that waits unread and closes the connection. Must not be called
	 * once the flow was taken.
	 * @param response the complete response
	 */
	public void answerUnread(ByteString response) {
		try {
			if (write(response, this::closeGracefully)) {
				closeGracefully();
			}
		}
		catch (IOException ex) {
			// The caller has disconnected.
			close();
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
			action = this.flowTaken ? this.actions.onReceived() : this::closeGracefully;
		}
		action.run();
	}

	@Override
	public void endInput() {
		Runnable action;
		synchronized (this) {
			if (this.closing || this.received.isFinished()) {
				return;
			}
			this.received.discard();
			action = this.actions.onReceived();
		}
		this.acceptor.execute(this::updateInterest);
		action.run();
	}

	@Override
	public boolean isWriting() {
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
		this.memory.onOpened();
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
			this.received.discard();
		}
		this.pendingWrite.discard();
		if (hasEnded() || !this.channel.shutdownOutput()) {
			close();
		}
		else {
			// Reading may have been suspended, and the peer's end is to be noticed.
			this.acceptor.execute(this::updateInterest);
			this.acceptor.linger(this);
		}
	}

	/**
	 * Closes the connection immediately.
	 */
	public void close() {
		this.channel.close();
		this.pendingWrite.discard();
		this.memory.holder().close();
		markEnded();
	}

	boolean isOpen() {
		return this.channel.isOpen();
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
			taken = this.received.take();
			if (!taken.isEmpty()) {
				this.actions.onTaking().accept(taken);
				// The action may have ended the input.
				taken = this.received.isFinished() ? ByteString.emptyByteString() : taken;
			}
		}
		if (wasFull) {
			this.acceptor.execute(this::updateInterest);
		}
		return taken;
	}

	/**
	 * Tells whether the received bytes may be taken, as far as there is memory for them.
	 * @return whether they may; if not, the action on received bytes is run again
	 */
	synchronized boolean mayTake() {
		return this.received.mayTake();
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
		if (this.pendingWrite.start(bytes, whenWritten)) {
			return true;
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

	/**
	 * Writes what the peer takes now.
	 */
	public void writeRemaining() {
		try {
			this.pendingWrite.resume();
		}
		catch (IOException ex) {
			// The writer is notified when the connection is closed.
			close();
		}
	}

	/**
	 * Reads once.
	 * @return whether bytes were received, so that there may be more
	 */
	private boolean read() {
		Runnable action = SocketActions.NONE;
		boolean hasReceived;
		boolean endReached;
		synchronized (this) {
			if (this.ended || !this.received.mayAdd()) {
				return false;
			}
			int before = this.received.length();
			endReached = this.channel.read(this.received);
			hasReceived = this.received.length() > before;
			if (hasReceived) {
				action = this.actions.onReceived();
				this.arrivals.onBytes(this.channel.now());
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
		boolean closeNow;
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			closeNow = this.closing;
			afterEnd = this.actions.takeOnEnded();
			afterReceived = this.actions.onReceived();
		}
		if (closeNow) {
			close();
		}
		afterEnd.run();
		afterReceived.run();
	}

	private synchronized void updateInterest() {
		this.channel.setInterest(!this.ended && this.received.mayAdd(), this.pendingWrite.isPending());
	}

	private void retryAfterWait() {
		Runnable action;
		synchronized (this) {
			if (!this.memory.endWait()) {
				return;
			}
			updateInterest();
			action = this.received.isEmpty() ? SocketActions.NONE : this.actions.onReceived();
		}
		action.run();
	}

}
