package org.marjoramgw.http;

import java.nio.ByteBuffer;
import java.util.Random;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link ByteCollector}.
 *
 * @author The marjoramgw authors
 */
public class ByteCollectorTests {

	private static final int MAX_PIECE_BYTES = 100_000;

	private static final int PIECE_COUNT = 50;

	@Test
	public void returnsAllBytesInOrder() {
		Random random = TestSeed.random(4);
		ByteCollector collector = new ByteCollector();
		ByteString expected = ByteString.emptyByteString();
		long occupiedBytes = 0;
		for (int number = 0; number < PIECE_COUNT; number++) {
			byte[] piece = new byte[random.nextInt(MAX_PIECE_BYTES)];
			random.nextBytes(piece);
			occupiedBytes += collector.add(ByteBuffer.wrap(piece));
			expected = expected.concat(ByteString.fromArray(piece));
		}
		Assert.assertEquals(collector.toByteString(), expected);
		Assert.assertEquals(collector.length(), expected.size());
		Assert.assertTrue(occupiedBytes >= expected.size() && occupiedBytes < expected.size() * 1.1,
				occupiedBytes + " for " + expected.size());
	}

	@Test
	public void resultDoesNotChangeWhenBytesAreAdded() {
		ByteCollector collector = new ByteCollector();
		collector.add(ByteBuffer.wrap(new byte[] { 1 }));
		ByteString one = collector.toByteString();
		collector.add(ByteBuffer.wrap(new byte[] { 2 }));
		Assert.assertEquals(one.toArray(), new byte[] { 1 });
		collector.clear();
		Assert.assertEquals(collector.length(), 0);
		collector.add(ByteBuffer.wrap(new byte[] { 3 }));
		Assert.assertEquals(collector.toByteString().toArray(), new byte[] { 3 });
	}

}
