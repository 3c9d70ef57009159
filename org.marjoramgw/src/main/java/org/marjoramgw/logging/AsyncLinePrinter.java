package org.marjoramgw.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.program.Pause;

/**
 * Lines that a thread of their own prints, so that who logs never waits for the reader of
 * the output. When too many wait, further ones are dropped and counted.
 *
 * @author The marjoramgw authors
 */
final class AsyncLinePrinter implements AutoCloseable {

	/** Lines that may wait, about a megabyte. */
	private static final int MAX_WAITING_LINES = 4_096;

	/** Longest wait for the last lines when the program ends, in milliseconds. */
	private static final long MAX_CLOSE_MILLIS = 500;

	private static final long POLL_MILLIS = 5;

	private final PrintStream out;

	private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private volatile boolean closed;

	AsyncLinePrinter(PrintStream out) {
		this.out = out;
		new DaemonThreadFactory("log-lines").newThread(this::printAll).start();
	}

	void print(String line) {
		if (this.closed) {
			this.out.println(line);
		}
		else if (!this.waiting.offer(line)) {
			this.dropped.incrementAndGet();
		}
	}

	long droppedCount() {
		return this.dropped.get();
	}

	@Override
	public void close() {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_CLOSE_MILLIS);
		while (!this.waiting.isEmpty() && System.nanoTime() < endNanos) {
			Pause.millis(POLL_MILLIS);
		}
		this.closed = true;
		this.out.flush();
	}

	private void printAll() {
		long reported = 0;
		try {
			while (true) {
				this.out.println(this.waiting.take());
				long now = this.dropped.get();
				if (now > reported) {
					this.out.println("{\"level\":\"WARN\",\"message\":\"" + (now - reported) + " log lines dropped\"}");
					reported = now;
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
