package org.marjoramgw.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.errors.ResponseTooLargeException;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests {@link BodyReader}.
 *
 * @author The marjoramgw authors
 */
public class BodyReaderTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final int PIECE_COUNT = 100_000;

	private static final int MAX_BYTES = 100_000;

	private ActorSystem<Void> system;

	private BodyReader reader;

	@BeforeClass
	public void start() {
		this.system = ActorSystem.create(Behaviors.empty(), "bodies");
		this.reader = new BodyReader(this.system);
	}

	@AfterClass
	public void stop() {
		this.system.terminate();
	}

	/**
	 * Guards against a body that keeps each of the pieces in which it came, each of them
	 * a part of a larger buffer.
	 */
	@Test
	public void bodyInTinyPiecesOccupiesNoMoreThanItsLength() throws Exception {
		ByteString piece = ByteString.fromArray(new byte[1_000]).slice(0, 1);
		List<Long> reserved = new ArrayList<>();
		HttpEntity.Strict body = read(Source.repeat(piece).take(PIECE_COUNT), reserved::add);
		Assert.assertEquals(body.getData().size(), PIECE_COUNT);
		AtomicInteger partCount = new AtomicInteger();
		body.getData().getByteBuffers().forEach((part) -> partCount.incrementAndGet());
		Assert.assertTrue(partCount.get() < 20, partCount + " parts");
		long reservedBytes = reserved.stream().mapToLong(Long::longValue).sum();
		Assert.assertTrue(reservedBytes > 2 * PIECE_COUNT, "pieces cost more than their bytes: " + reservedBytes);
	}

	/**
	 * Guards against a body without end in tiny pieces that occupies the process for
	 * longer than one in large pieces.
	 */
	@Test
	public void endlessBodyInTinyPiecesEndsAtTheLimit() throws Exception {
		AtomicInteger pieceCount = new AtomicInteger();
		Source<ByteString, ?> endless = Source.repeat(ByteString.fromString("x")).map((piece) -> {
			pieceCount.incrementAndGet();
			return piece;
		});
		long[] reservedBytes = new long[1];
		Throwable failure = failureOf(endless, (bytes) -> {
			reservedBytes[0] += bytes;
			if (reservedBytes[0] > MAX_BYTES) {
				throw new ResponseTooLargeException("body", MAX_BYTES);
			}
		});
		Assert.assertTrue(failure instanceof ResponseTooLargeException, failure.toString());
		Assert.assertTrue(pieceCount.get() < MAX_BYTES / 20, pieceCount + " pieces");
	}

	@Test
	public void incompleteOrSlowBodyFails() throws Exception {
		Source<ByteString, ?> begun = Source.single(ByteString.fromString("x"))
			.concat(Source.failed(new IOException("reset")));
		Throwable broken = failureOf(begun, MemoryLimit.NONE);
		Assert.assertTrue(broken instanceof IOException, broken.toString());
		HttpEntity slow = HttpEntities.create(ContentTypes.APPLICATION_OCTET_STREAM, Source.maybe());
		try {
			this.reader.read(slow, 50, MemoryLimit.NONE)
				.toCompletableFuture()
				.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			Assert.fail("read without an end");
		}
		catch (ExecutionException ex) {
			Assert.assertTrue(ex.getCause() instanceof TimeoutException, ex.toString());
		}
	}

	private HttpEntity.Strict read(Source<ByteString, ?> bytes, MemoryLimit limit) throws Exception {
		return this.reader
			.read(HttpEntities.create(ContentTypes.APPLICATION_OCTET_STREAM,
					bytes.mapMaterializedValue((value) -> value)), TIMEOUT_MILLIS, limit)
			.toCompletableFuture()
			.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private Throwable failureOf(Source<ByteString, ?> bytes, MemoryLimit limit) throws Exception {
		try {
			read(bytes, limit);
			throw new AssertionError("read without a failure");
		}
		catch (ExecutionException ex) {
			return ex.getCause();
		}
	}

}
