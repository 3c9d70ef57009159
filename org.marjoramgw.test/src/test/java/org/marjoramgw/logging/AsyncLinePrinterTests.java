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
 * Tests {@link AsyncLinePrinter}.
 *
 * @author The marjoramgw authors
 */
public class AsyncLinePrinterTests {

	@Test
	public void printsInOrderAndDirectlyOnceClosed() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		AsyncLinePrinter lines = new AsyncLinePrinter(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		lines.print("one");
		lines.print("two");
		lines.close();
		lines.print("three");
		Assert.assertEquals(bytes.toString(StandardCharsets.UTF_8).lines().toList().size(), 3);
	}

	@Test(timeOut = 20_000)
	public void outputThatNobodyReadsBlocksNoOne() throws InterruptedException {
		CountDownLatch readers = new CountDownLatch(1);
		AsyncLinePrinter lines = new AsyncLinePrinter(new PrintStream(new OutputStream() {

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
			lines.print("line");
		}
		Assert.assertTrue(lines.droppedCount() > 5_000, "" + lines.droppedCount());
		readers.countDown();
	}

}
