package org.marjoramgw.direct.forward;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.Graph;
import org.apache.pekko.stream.SourceShape;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Body of an event stream that may continue on another backend server after its server
 * failed; thread-safe.
 * <p>
 * The caller receives only complete events, each of them once, so that a server that
 * stops in the middle of an event leaves nothing to take back.
 *
 * @author The marjoramgw authors
 */
final class ResumableBody {

	private static final int UNLIMITED_CONTINUATIONS = -1;

	private final StreamPosition position = new StreamPosition();

	private CompletableFuture<Source<ByteString, NotUsed>> continuation;

	private boolean started;

	private boolean awaited;

	/**
	 * Starts the body.
	 * @param events bytes of the first server
	 * @return the body for the caller; fails if a server fails and the stream doesn't
	 * continue
	 */
	synchronized Source<ByteString, NotUsed> start(Source<ByteString, ?> events) {
		this.started = true;
		return framed(events).recoverWithRetries(UNLIMITED_CONTINUATIONS,
				new PFBuilder<Throwable, Graph<SourceShape<ByteString>, NotUsed>>()
					.match(Throwable.class, (failure) -> mayContinue(),
							(failure) -> Source.completionStageSource(awaitContinuation())
								.mapMaterializedValue((ignored) -> NotUsed.getInstance()))
					.build());
	}

	/**
	 * Tells whether the body was started.
	 * @return whether it was
	 */
	synchronized boolean isStarted() {
		return this.started;
	}

	/**
	 * Returns the id of the last event that the caller received.
	 * @return the id, or empty if there was no event with an id
	 */
	Optional<String> lastEventId() {
		return this.position.lastEventId();
	}

	/**
	 * Announces that a continuation is being sought. Must be called before the failure of
	 * the server reaches the body.
	 */
	synchronized void interrupt() {
		this.continuation = new CompletableFuture<>();
		this.awaited = false;
	}

	/**
	 * Tells whether a continuation is being sought.
	 * @return whether one is
	 */
	synchronized boolean isInterrupted() {
		return this.continuation != null && !this.continuation.isDone();
	}

	/**
	 * Continues the body.
	 * @param events bytes of another server, from the event after {@link #lastEventId()}
	 */
	synchronized void continueWith(Source<ByteString, ?> events) {
		this.continuation.complete(framed(events));
	}

	/**
	 * Gives up the search for a continuation, which fails the body.
	 * @param reason reason of the failure
	 */
	synchronized void abandon(String reason) {
		if (this.continuation != null) {
			this.continuation.completeExceptionally(new IOException(reason));
		}
	}

	private synchronized boolean mayContinue() {
		return this.continuation != null && !this.awaited;
	}

	private synchronized CompletionStage<Source<ByteString, NotUsed>> awaitContinuation() {
		this.awaited = true;
		return this.continuation;
	}

	private Source<ByteString, NotUsed> framed(Source<ByteString, ?> events) {
		return events.via(new EventFraming(this.position)).mapMaterializedValue((ignored) -> NotUsed.getInstance());
	}

}
