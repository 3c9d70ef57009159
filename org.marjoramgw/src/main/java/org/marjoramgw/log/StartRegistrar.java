package org.marjoramgw.log;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.errors.CodedException;
import org.tinylog.Logger;

/**
 * Registrar of this process's start that tries, on a thread of its own, until the log has
 * taken the record.
 *
 * @author The marjoramgw authors
 */
public final class StartRegistrar implements AutoCloseable {

	private static final long MIN_BACKOFF_MILLIS = 250;

	private static final long MAX_BACKOFF_MILLIS = 2_000;

	private final StartStream stream;

	private final StartRecord start;

	private final CompletableFuture<Long> fencingNumber = new CompletableFuture<>();

	private final ScheduledExecutorService executor;

	/**
	 * Creates a registrar and starts at once.
	 * @param stream stream of the starts
	 * @param start this process's record
	 */
	public StartRegistrar(StartStream stream, StartRecord start) {
		this.stream = stream;
		this.start = start;
		this.executor = Executors.newSingleThreadScheduledExecutor(new DaemonThreadFactory("start-record"));
		this.executor.execute(this::register);
	}

	/**
	 * Returns the fencing number of this incarnation: the offset of its start record.
	 * @return completes once the log has taken the record
	 */
	public CompletionStage<Long> fencingNumber() {
		return this.fencingNumber;
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private void register() {
		try {
			this.fencingNumber.complete(this.stream.register(this.start));
			this.executor.shutdown();
		}
		catch (CodedException ex) {
			Logger.warn("start not registered yet: {}", ex.getMessage());
			long backoffMillis = ThreadLocalRandom.current().nextLong(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
			if (!this.executor.isShutdown()) {
				this.executor.schedule(this::register, backoffMillis, TimeUnit.MILLISECONDS);
			}
		}
	}

}
