package org.marjoramgw.direct.follow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.marjoramgw.MillisClock;

/**
 * Reads that confirm the present state on demand; thread-safe.
 * <p>
 * One read is open at a time. Whoever asks meanwhile shares the next one, since only a
 * read that is sent later confirms the state as of that moment.
 *
 * @author The marjoramgw authors
 */
public final class ConfirmationReads {

	/** Time after a read that failed in which no other one is sent, in milliseconds. */
	private static final long PAUSE_MILLIS = 250;

	private final Supplier<CompletionStage<Void>> reads;

	private final MillisClock clock;

	private CompletableFuture<Boolean> open;

	private CompletableFuture<Boolean> next;

	private long pausedUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates an instance.
	 * @param reads sends a read; fails if it wasn't answered
	 * @param clock monotonic clock
	 */
	public ConfirmationReads(Supplier<CompletionStage<Void>> reads, MillisClock clock) {
		this.reads = reads;
		this.clock = clock;
	}

	/**
	 * Requests a read that is sent after this call.
	 * @return completes when the read has ended, with whether it was answered
	 */
	public CompletionStage<Boolean> request() {
		CompletableFuture<Boolean> started;
		synchronized (this) {
			if (this.open != null) {
				this.next = (this.next != null) ? this.next : new CompletableFuture<>();
				return this.next;
			}
			if (this.clock.nowMillis() < this.pausedUntilMillis) {
				return CompletableFuture.completedFuture(false);
			}
			started = new CompletableFuture<>();
			this.open = started;
		}
		send(started);
		return started;
	}

	private void send(CompletableFuture<Boolean> started) {
		CompletionStage<Void> read;
		try {
			read = this.reads.get();
		}
		catch (RuntimeException ex) {
			// A read that is never ended would hold back all later ones.
			read = CompletableFuture.failedFuture(ex);
		}
		read.whenComplete((ignored, failure) -> onEnd(started, failure != null));
	}

	private void onEnd(CompletableFuture<Boolean> ended, boolean failed) {
		CompletableFuture<Boolean> following;
		synchronized (this) {
			following = this.next;
			this.next = null;
			this.open = failed ? null : following;
			if (failed) {
				this.pausedUntilMillis = this.clock.nowMillis() + PAUSE_MILLIS;
			}
		}
		ended.complete(!failed);
		if (following == null) {
			return;
		}
		if (failed) {
			following.complete(false);
		}
		else {
			send(following);
		}
	}

}
