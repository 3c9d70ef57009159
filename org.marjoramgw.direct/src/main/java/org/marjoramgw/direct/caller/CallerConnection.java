package org.marjoramgw.direct.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Connection of one caller, on which one request at a time is answered; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class CallerConnection {

	private final CallerSocket socket;

	private final CompletableFuture<CallerConnection> opened = new CompletableFuture<>();

	private boolean closed;

	private boolean busy;

	private boolean readingHead;

	private int headNumber;

	private Runnable onClose;

	/**
	 * Creates a connection.
	 * @param line its socket
	 */
	public CallerConnection(CallerSocket line) {
		this.socket = line;
	}

	/**
	 * Returns when the work of opening is over.
	 * @return completes when the first request was passed on or answered, or the
	 * connection ended before
	 */
	public CompletionStage<CallerConnection> opened() {
		return this.opened;
	}

	/**
	 * Notes that the work of opening is over.
	 */
	public void markOpened() {
		this.opened.complete(this);
	}

	/**
	 * Notes that bytes came.
	 * @return number of the head that begins with them, or 0 if they go on with what is
	 * under way
	 */
	public synchronized int onBytes() {
		if (this.busy || this.readingHead) {
			return 0;
		}
		this.readingHead = true;
		return ++this.headNumber;
	}

	/**
	 * Closes the connection from this side if a head is still not whole.
	 * @param number number of the head
	 */
	public void closeIfHeadIncomplete(int number) {
		synchronized (this) {
			if (!this.readingHead || this.headNumber != number || this.closed) {
				return;
			}
			this.closed = true;
		}
		this.socket.closeGracefully();
	}

	/**
	 * Notes that a request was read.
	 * @return whether it may be answered; if not, the connection is being closed
	 */
	public synchronized boolean beginRequest() {
		if (this.closed) {
			return false;
		}
		this.busy = true;
		this.readingHead = false;
		return true;
	}

	/**
	 * Asks the system whether the caller has closed the connection, which may be known
	 * there before this process has noticed it.
	 * @return whether it has
	 */
	public boolean isClosedByCaller() {
		return this.socket.hasEnded();
	}

	/**
	 * Sets what happens to the request under way when the caller closes the connection.
	 * @param action what is done; at once if the connection is closed already
	 */
	public void whenClosed(Runnable action) {
		synchronized (this) {
			this.onClose = action;
			if (!this.closed) {
				return;
			}
		}
		action.run();
	}

	/**
	 * Notes that the request under way was answered to its end.
	 */
	public synchronized void endRequest() {
		this.busy = false;
		this.onClose = null;
	}

	/**
	 * Notes that the caller closed the connection.
	 */
	public void onClosedByCaller() {
		Runnable action;
		synchronized (this) {
			this.closed = true;
			action = this.onClose;
			this.onClose = null;
		}
		markOpened();
		if (action != null) {
			action.run();
		}
	}

	/**
	 * Closes the connection from this side if no request is under way or has arrived.
	 */
	public void closeIfIdle() {
		boolean hasUnread = this.socket.hasUnreadBytes();
		synchronized (this) {
			if (this.busy || this.readingHead || this.closed || hasUnread) {
				return;
			}
			this.closed = true;
		}
		this.socket.closeGracefully();
	}

}
