package org.marjoramgw.direct.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.time.ClockReading;

/**
 * Connection of one caller, which carries one request at a time; thread-safe.
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

	private ClockReading arrived;

	/**
	 * Creates a connection.
	 * @param socket socket of the connection
	 */
	public CallerConnection(CallerSocket socket) {
		this.socket = socket;
	}

	/**
	 * Returns a stage for the end of the opening phase.
	 * @return completes when the first request was forwarded or answered, or when the
	 * connection was closed before
	 */
	public CompletionStage<CallerConnection> opened() {
		return this.opened;
	}

	/**
	 * Tells whether the opening phase goes on, so that the request in progress keeps the
	 * place among starting requests that its connection was given.
	 * @return whether it does
	 */
	public boolean isOpening() {
		return !this.opened.isDone();
	}

	/**
	 * Marks the end of the opening phase.
	 */
	public void markOpened() {
		this.opened.complete(this);
	}

	/**
	 * Records that bytes are being taken from the socket.
	 * @return sequence number of the request head that starts with these bytes, or 0 if
	 * they continue a head or a request in progress
	 */
	public synchronized int onBytes() {
		if (this.busy || this.readingHead) {
			return 0;
		}
		this.readingHead = true;
		return ++this.headNumber;
	}

	/**
	 * Closes the connection if a request head is still incomplete, unless the response
	 * before it is still being written.
	 * @param number sequence number of the head
	 * @return whether the head is still incomplete and the connection open, so that it
	 * has to be checked again
	 */
	public boolean closeIfHeadIncomplete(int number) {
		boolean writing = this.socket.isWriting();
		synchronized (this) {
			if (!this.readingHead || this.headNumber != number || this.closed) {
				return false;
			}
			if (writing) {
				return true;
			}
			this.closed = true;
		}
		this.socket.closeGracefully();
		return false;
	}

	/**
	 * Marks the start of a request whose head was read.
	 * @return whether the request may be handled; false if the connection was closed
	 */
	public synchronized boolean beginRequest() {
		if (this.closed) {
			return false;
		}
		this.busy = true;
		this.readingHead = false;
		this.arrived = this.socket.arrivals().beginRequest();
		return true;
	}

	/**
	 * Returns when the request in progress arrived.
	 * @return time at which its first bytes were read from the socket
	 */
	public synchronized ClockReading requestArrived() {
		return this.arrived;
	}

	/**
	 * Marks the end of the body of the request in progress.
	 */
	public void endRequestBody() {
		this.socket.arrivals().endBody();
	}

	/**
	 * Checks the socket for a disconnect of the caller, which the operating system may
	 * know of before this process was notified.
	 * @return whether the caller has closed the connection
	 */
	public boolean isClosedByCaller() {
		return this.socket.hasEnded();
	}

	/**
	 * Sets the action to run when the caller closes the connection during the request in
	 * progress.
	 * @param action the action; runs immediately if the connection is already closed
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
	 * Marks the end of the request in progress. Its response may still have to be
	 * written.
	 */
	public synchronized void endRequest() {
		this.busy = false;
		this.onClose = null;
	}

	/**
	 * Called when the caller has closed the connection.
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
	 * Ends the connection unless a request is in progress or has arrived unread. It is
	 * closed once the response to the last request was written.
	 */
	public void finishIfIdle() {
		this.socket.finishIf(this::isIdle);
	}

	/**
	 * Tells whether nothing more is written on this connection.
	 * @return whether it was closed from either side
	 */
	public boolean isClosed() {
		return this.socket.isClosed();
	}

	private synchronized boolean isIdle() {
		return !this.busy && !this.readingHead;
	}

}
