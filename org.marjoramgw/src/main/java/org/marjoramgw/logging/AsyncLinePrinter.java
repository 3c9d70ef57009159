package org.marjoramgw.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.program.Pause;

/**
 * Prints lines from a background thread, so that a slow reader of the output never blocks
 * a thread that logs. Lines are queued up to a bound; further ones are dropped and
 * counted.
 *
 * @author The marjoramgw authors
 */
final class AsyncLinePrinter implements AutoCloseable {

	/** Capacity of the queue; about 1 MB of log lines. */
	private static final int MAX_QUEUED_LINES = 4_096;

	/** Time that {@link #close()} waits for queued lines to be printed. */
	private static final long CLOSE_TIMEOUT_MILLIS = 500;

	private static final long POLL_INTERVAL_MILLIS = 5;

	private final PrintStream out;

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

	private final AtomicLong droppedLines = new AtomicLong();

	private volatile boolean closed;

	AsyncLinePrinter(PrintStream out) {
		this.out = out;
		new DaemonThreadFactory("log-lines").newThread(this::runPrintLoop).start();
	}

	void print(String line) {
		if (this.closed) {
			this.out.println(line);
		}
		else if (!this.queue.offer(line)) {
			this.droppedLines.incrementAndGet();
		}
	}

	long droppedCount() {
		return this.droppedLines.get();
	}

	@Override
	public void close() {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS);
		while (!this.queue.isEmpty() && System.nanoTime() < deadlineNanos) {
			Pause.millis(POLL_INTERVAL_MILLIS);
		}
		this.closed = true;
		this.out.flush();
	}

	private void runPrintLoop() {
		long reportedLines = 0;
		try {
			while (true) {
				this.out.println(this.queue.take());
				long totalLines = this.droppedLines.get();
				if (totalLines > reportedLines) {
					this.out.println("{\"level\":\"WARN\",\"message\":\"" + (totalLines - reportedLines)
							+ " log lines dropped\"}");
					reportedLines = totalLines;
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
