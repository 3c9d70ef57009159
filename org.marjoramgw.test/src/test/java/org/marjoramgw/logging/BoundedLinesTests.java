package org.marjoramgw.logging;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link BoundedLines}.
 *
 * @author The marjoramgw authors
 */
public class BoundedLinesTests {

	@Test
	public void printsInOrderAndDirectlyOnceClosed() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		BoundedLines lines = new BoundedLines(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		lines.add("one");
		lines.add("two");
		lines.close();
		lines.add("three");
		Assert.assertEquals(bytes.toString(StandardCharsets.UTF_8).lines().toList().size(), 3);
	}

	@Test(timeOut = 20_000)
	public void outputThatNobodyReadsBlocksNoOne() throws InterruptedException {
		CountDownLatch readers = new CountDownLatch(1);
		BoundedLines lines = new BoundedLines(new PrintStream(new OutputStream() {

			@Override
			public void write(int next) {
				try {
					readers.await(15, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}

		}));
		for (int line = 0; line < 10_000; line++) {
			lines.add("line");
		}
		Assert.assertTrue(lines.droppedCount() > 5_000, "" + lines.droppedCount());
		readers.countDown();
	}

}
