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
	public void printsQueuedLinesThenPrintsDirectlyAfterClose() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		AsyncLinePrinter printer = new AsyncLinePrinter(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		printer.print("one");
		printer.print("two");
		printer.close();
		printer.print("three");
		Assert.assertEquals(bytes.toString(StandardCharsets.UTF_8).lines().toList().size(), 3);
	}

	@Test(timeOut = 20_000)
	public void dropsLinesInsteadOfBlockingOnStalledOutput() throws InterruptedException {
		CountDownLatch outputReleased = new CountDownLatch(1);
		AsyncLinePrinter printer = new AsyncLinePrinter(new PrintStream(new OutputStream() {

			@Override
			public void write(int next) {
				try {
					outputReleased.await(15, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}

		}));
		for (int line = 0; line < 10_000; line++) {
			printer.print("line");
		}
		Assert.assertTrue(printer.droppedCount() > 5_000, "" + printer.droppedCount());
		outputReleased.countDown();
	}

}
