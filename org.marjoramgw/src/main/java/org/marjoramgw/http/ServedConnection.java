package org.marjoramgw.http;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.util.ByteString;

/**
 * State of one connection of a {@link BoundedHttpServer}: whose turn it is, since when,
 * and the memory held for it. Thread-safe.
 *
 * @author The marjoramgw authors
 */
final class ServedConnection {

	/** Memory of the streams and the parser of one connection. */
	static final long CONNECTION_BYTES = 24 << 10;

	/** Largest chunk that the HTTP parser accepts, with its extension. */
	private static final long MAX_CHUNK_BYTES = (1 << 20) + (16 << 10);

	/** Largest number of bytes of one read. */
	private static final long READ_BYTES = 16 << 10;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final CallerSettings limits;

	private final MemoryBudget budget;

	private final SharedKillSwitch killSwitch = KillSwitches.shared("caller");

	private final HeldMemory held;

	private final FramingScan framing = new FramingScan();

	private int openResponses;

	private boolean bodyOpen;

	private boolean headOpen;

	private boolean bodyMoved;

	private boolean rejected;

	private boolean reading;

	private boolean writing;

	private boolean closing;

	private long headBytes;

	private long unreadBytes;

	private long headNanos;

	private long bodyNanos;

	private long movedNanos;

	ServedConnection(CallerSettings limits, MemoryBudget budget, String owner) {
		this.limits = limits;
		this.budget = budget;
		this.movedNanos = budget.nowNanos();
		this.held = budget.open(MemoryKind.CONNECTION, owner, this::abort);
		this.held.add(CONNECTION_BYTES);
		this.held.setCallerDue(true);
	}

	SharedKillSwitch killSwitch() {
		return this.killSwitch;
	}

	HeldMemory held() {
		return this.held;
	}

	/**
	 * Closes the connection immediately.
	 */
	void abort() {
		synchronized (this) {
			this.closing = true;
		}
		this.held.close();
		this.killSwitch.abort(ConnectionAbortedException.INSTANCE);
	}

	/**
	 * Called when bytes were received.
	 * @param count number of bytes
	 */
	synchronized void onReceived(int count) {
		markMoved();
		this.reading = false;
		updateTurn();
		this.unreadBytes += count;
		this.held.add(count);
		if (!this.headOpen && !this.bodyOpen) {
			this.headOpen = true;
			this.headBytes = 0;
			this.headNanos = this.movedNanos;
		}
		if (this.headOpen) {
			this.headBytes += count;
		}
	}

	/**
	 * Tells whether the next byte is the first one of a head, or of an empty line before
	 * it.
	 * @return whether it is
	 */
	synchronized boolean isBetweenRequests() {
		return this.framing.isBetweenRequests();
	}

	/**
	 * Called before bytes are passed on to the HTTP parser.
	 * @param bytes the bytes
	 * @return whether they may be passed on; false if a chunk size with its extension, or
	 * the trailers, are over the limit
	 */
	synchronized boolean mayPass(ByteString bytes) {
		this.framing.add(bytes);
		return !this.framing.isOver(this.limits.maxHeadBytes());
	}

	/**
	 * Called when the bytes received last were nothing but empty lines, which aren't
	 * kept.
	 */
	synchronized void onEmptyLines() {
		releaseUnread();
	}

	/**
	 * Called when more bytes are needed. Those received before are still kept if they are
	 * a part of a head, or of a chunk of a body; otherwise they were read.
	 * @return whether more may be read; false if the head or the chunk is over its limit
	 */
	synchronized boolean mayRead() {
		if (this.headOpen) {
			return this.headBytes <= this.limits.maxHeadBytes();
		}
		if (this.bodyOpen && !this.bodyMoved) {
			return this.unreadBytes <= MAX_CHUNK_BYTES;
		}
		this.bodyMoved = false;
		releaseUnread();
		return true;
	}

	/**
	 * Reserves the memory of the next bytes. Only a caller with an incomplete chunk waits
	 * for it; what others hold unread is little.
	 * @return completes when the next bytes may be read
	 */
	CompletionStage<Void> reserveRead() {
		synchronized (this) {
			this.reading = true;
			updateTurn();
			if (!this.bodyOpen || this.unreadBytes < this.limits.maxHeadBytes()) {
				return MemoryBudget.GRANTED;
			}
		}
		// The reservation only waits; the bytes themselves are charged when they arrive.
		long heldBytes = this.held.bytes();
		CompletionStage<Void> granted = this.held.reserve(heldBytes + READ_BYTES);
		if (granted == MemoryBudget.GRANTED) {
			this.held.add(heldBytes - this.held.bytes());
			return granted;
		}
		return granted.thenRun(() -> this.held.add(heldBytes - this.held.bytes()));
	}

	/**
	 * Closes the connection because its head or chunk is over the limit.
	 */
	void reject() {
		synchronized (this) {
			this.rejected = true;
		}
		abort();
	}

	/**
	 * Tells whether the connection was closed because a head or chunk was over the limit.
	 * @return whether it was
	 */
	synchronized boolean isRejected() {
		return this.rejected;
	}

	synchronized void onRequest(HttpEntity entity) {
		if (entity.isChunked()) {
			this.framing.startBody(true);
		}
		else {
			this.framing.startBody(entity.getContentLengthOption().orElse(0));
		}
		this.headOpen = false;
		this.bodyOpen = true;
		this.openResponses++;
		this.bodyMoved = true;
		this.bodyNanos = this.budget.nowNanos();
		updateTurn();
	}

	synchronized void onBodyData() {
		this.framing.onChunk();
		this.bodyMoved = true;
	}

	synchronized void onBodyEnd() {
		this.bodyOpen = false;
		markMoved();
		updateTurn();
	}

	synchronized void onResponseEnd() {
		this.openResponses--;
		if (this.headOpen) {
			// The head of the next request couldn't be read before.
			this.headNanos = this.budget.nowNanos();
		}
		markMoved();
		updateTurn();
	}

	synchronized void onWriting(boolean pending) {
		this.writing = pending;
		markMoved();
		updateTurn();
	}

	private void releaseUnread() {
		this.held.add(-this.unreadBytes);
		this.unreadBytes = 0;
	}

	private void markMoved() {
		this.movedNanos = this.budget.nowNanos();
		this.held.markProgress();
	}

	private void updateTurn() {
		boolean idle = this.openResponses == 0 && !this.bodyOpen;
		this.held.setCallerDue(this.writing || idle || (this.bodyOpen && this.reading));
	}

	/**
	 * Checks the timeouts.
	 * @param nowNanos current time, in nanoseconds
	 * @return the reason to close the connection, if any
	 */
	synchronized Optional<CloseReason> closeReason(long nowNanos) {
		if (this.closing) {
			return Optional.empty();
		}
		long stillMillis = (nowNanos - this.movedNanos) / NANOS_PER_MILLI;
		if (stillMillis > this.limits.stallTimeoutMillis()) {
			return Optional.of(CloseReason.STALLED);
		}
		if (this.writing) {
			return Optional.empty();
		}
		if (this.headOpen && this.openResponses == 0
				&& nowNanos - this.headNanos > this.limits.headTimeoutMillis() * NANOS_PER_MILLI) {
			return Optional.of(CloseReason.HEAD);
		}
		if (this.bodyOpen && this.openResponses == 0
				&& nowNanos - this.bodyNanos > this.limits.bodyTimeoutMillis() * NANOS_PER_MILLI) {
			return Optional.of(CloseReason.BODY);
		}
		boolean idle = isIdle() && stillMillis > this.limits.idleTimeoutMillis();
		return idle ? Optional.of(CloseReason.IDLE) : Optional.empty();
	}

	/**
	 * Tells whether the connection can be closed in favor of another one.
	 * @return whether no request is in progress
	 */
	synchronized boolean isIdle() {
		return this.openResponses == 0 && !this.bodyOpen && !this.writing && !this.closing;
	}

	/**
	 * Tells since when the connection has been idle or has had an incomplete head.
	 * @return time of the first byte of the head or else of the last one moved, in
	 * nanoseconds
	 */
	synchronized long idleSinceNanos() {
		return this.headOpen ? this.headNanos : this.movedNanos;
	}

}
