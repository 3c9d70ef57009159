package org.marjoramgw.direct.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.http.BodyReader;
import org.marjoramgw.http.FramingScan;
import org.marjoramgw.http.MemoryLimit;
import org.marjoramgw.policy.memory.MemoryUse;
import org.marjoramgw.time.ClockReading;

/**
 * Connection of one caller, which carries one request at a time; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class CallerConnection {

	/**
	 * Length of what was taken from the socket at once above which a part of it may
	 * belong to the next request and goes on being counted.
	 */
	private static final int MAX_UNCOUNTED_BYTES = 4 << 10;

	private final CallerSocket socket;

	private final CompletableFuture<CallerConnection> opened = new CompletableFuture<>();

	private boolean closed;

	private boolean busy;

	private boolean readingHead;

	private boolean readingBody;

	private boolean bodyRefused;

	private boolean misread;

	private int headBytes;

	private int takenBytes;

	private final FramingScan framing = new FramingScan();

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
	 * Examines bytes that are being taken from the socket, before they are recorded.
	 * @param bytes the bytes
	 * @param maxHeaderBytes limit on a head, and on the trailers of a body
	 * @return why they can't be passed on, or empty if they can
	 */
	public synchronized Optional<CallerEvents.Reason> examine(ByteString bytes, int maxHeaderBytes) {
		this.takenBytes = bytes.size();
		if (!this.busy) {
			if (!this.readingHead) {
				this.headBytes = 0;
				this.framing.startHead();
			}
			else if (this.headBytes >= maxHeaderBytes) {
				return Optional.of(CallerEvents.Reason.HEAD_TOO_LARGE);
			}
			this.headBytes += bytes.size();
		}
		this.framing.add(bytes);
		return this.framing.isOver(maxHeaderBytes) ? Optional.of(CallerEvents.Reason.TRAILERS_TOO_LARGE)
				: Optional.empty();
	}

	/**
	 * Marks the start of the body of the request in progress.
	 * @param chunked whether it comes in chunks
	 * @param owner returns the name of the owner of its memory
	 * @return the limit on its memory, which counts it and is never exceeded by itself,
	 * since reading is suspended when the budget is used up
	 */
	public MemoryLimit beginRequestBody(boolean chunked, Supplier<String> owner) {
		synchronized (this) {
			this.framing.startBody(chunked);
		}
		this.socket.memory().setOwner(owner);
		return (bytes) -> {
			this.socket.memory().add(MemoryUse.REQUEST_BODIES, bytes - BodyReader.PIECE_OVERHEAD_BYTES);
			this.socket.memory().set(MemoryUse.PARSING, onChunk());
		};
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
	 * Tells whether a request head is incomplete on the open connection.
	 * @param number sequence number of the head
	 * @return whether it is
	 */
	public synchronized boolean isReadingHead(int number) {
		return this.readingHead && this.headNumber == number && !this.closed;
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
		this.readingBody = true;
		this.arrived = this.socket.arrivals().beginRequest();
		return true;
	}

	/**
	 * Marks that the head of the request in progress was misread, so that what follows it
	 * may be its body.
	 */
	public synchronized void markMisread() {
		this.misread = true;
	}

	/**
	 * Tells whether what is read on this connection is no request.
	 * @return whether an earlier head was misread
	 */
	public synchronized boolean isMisread() {
		return this.misread;
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
		synchronized (this) {
			this.readingBody = false;
		}
		this.socket.arrivals().endBody();
	}

	/**
	 * Returns the address of the caller.
	 * @return the address without a port, empty if the connection has ended
	 */
	public String callerAddress() {
		return this.socket.peerAddress();
	}

	/**
	 * Tells whether the body of the request in progress is incomplete.
	 * @return whether it is being read and was not refused
	 */
	public synchronized boolean isReadingBody() {
		return this.readingBody && !this.bodyRefused;
	}

	/**
	 * Refuses the request in progress if its body is incomplete, so that it has not run.
	 * @return whether it is refused
	 */
	public boolean refuseBody() {
		synchronized (this) {
			if (!this.readingBody || this.bodyRefused) {
				return false;
			}
			this.bodyRefused = true;
		}
		this.socket.endInput();
		return true;
	}

	/**
	 * Tells whether the body of the request in progress was refused.
	 * @return whether it was
	 */
	public synchronized boolean isBodyRefused() {
		return this.bodyRefused;
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
		this.readingBody = false;
		this.onClose = null;
		this.socket.memory().set(MemoryUse.REQUEST_BODIES, 0);
		this.socket.memory().set(MemoryUse.PARSING, (this.takenBytes > MAX_UNCOUNTED_BYTES) ? this.takenBytes : 0);
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

	/**
	 * Tells whether no request is being read or handled.
	 * @return whether there is none
	 */
	public synchronized boolean isIdle() {
		return !this.busy && !this.readingHead;
	}

	private synchronized int onChunk() {
		this.framing.onChunk();
		return this.takenBytes;
	}

}
