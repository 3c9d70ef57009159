package org.marjoramgw.http;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.CompletionStages;
import org.marjoramgw.errors.ResponseTooLargeException;

/**
 * Reads complete bodies into memory. Takes the place of {@code HttpEntity.toStrict},
 * which keeps each piece that it receives: a body that comes in chunks of one byte
 * occupies more than a hundred times its length there.
 *
 * @author The marjoramgw authors
 */
public final class BodyReader {

	/**
	 * Cost of one piece of a body, in memory and CPU time, expressed in bytes. It is a
	 * part of what is reserved for a piece.
	 */
	public static final int PIECE_OVERHEAD_BYTES = 64;

	private final ActorSystem<?> system;

	/**
	 * Creates a reader.
	 * @param system the actor system
	 */
	public BodyReader(ActorSystem<?> system) {
		this.system = system;
	}

	/**
	 * Reads the complete body of a message.
	 * @param entity entity of the message
	 * @param timeoutMillis timeout, in milliseconds
	 * @param limit limit on the memory of the body
	 * @return the body; fails if it is incomplete, not received in time, or with a
	 * {@link ResponseTooLargeException}
	 */
	public CompletionStage<HttpEntity.Strict> read(HttpEntity entity, long timeoutMillis, MemoryLimit limit) {
		if (entity instanceof HttpEntity.Strict received) {
			return CompletableFuture.completedFuture(received);
		}
		ByteCollector collector = new ByteCollector();
		return CompletionStages
			.withDirectExecutor(entity.getDataBytes()
				.completionTimeout(Duration.ofMillis(Math.max(1, timeoutMillis)))
				.runForeach((piece) -> add(piece, collector, limit), this.system))
			.thenApply((done) -> HttpEntities.create(entity.getContentType(), collector.toByteString()));
	}

	/**
	 * Reads the complete body of a caller's request. Reading stops while no memory is
	 * left.
	 * @param entity entity of the request
	 * @param timeoutMillis timeout, in milliseconds
	 * @param held memory held for the request, which is increased by that of the body
	 * @return the body; fails if it is incomplete, not received in time, or with a
	 * {@link MemoryExhaustedException}
	 */
	public CompletionStage<ByteString> read(HttpEntity entity, long timeoutMillis, HeldMemory held) {
		if (entity instanceof HttpEntity.Strict received) {
			return held.reserve(received.getData().size()).thenApply((granted) -> received.getData().compact());
		}
		ByteCollector collector = new ByteCollector();
		SharedKillSwitch reading = KillSwitches.shared("body");
		held.whenReclaimed(() -> reading.abort(new MemoryExhaustedException("memory was reclaimed")));
		held.setCallerDue(true);
		return CompletionStages
			.withDirectExecutor(entity.getDataBytes()
				.via(reading.flow())
				.completionTimeout(Duration.ofMillis(Math.max(1, timeoutMillis)))
				.mapAsync(1, (piece) -> collect(piece, collector, held))
				.runWith(Sink.ignore(), this.system))
			.thenApply((done) -> {
				held.setCallerDue(false);
				return collector.toByteString();
			});
	}

	private static CompletionStage<Integer> collect(ByteString piece, ByteCollector collector, HeldMemory held) {
		held.markProgress();
		long length = (long) collector.length() + piece.size();
		return held.reserve(ByteCollector.maxOccupiedBytes(length)).thenApply((granted) -> {
			piece.getByteBuffers().forEach(collector::add);
			return piece.size();
		});
	}

	private static void add(ByteString piece, ByteCollector collector, MemoryLimit limit)
			throws ResponseTooLargeException {
		long occupiedBytes = PIECE_OVERHEAD_BYTES;
		for (ByteBuffer buffer : piece.getByteBuffers()) {
			occupiedBytes += collector.add(buffer);
		}
		limit.reserve(occupiedBytes);
	}

}
