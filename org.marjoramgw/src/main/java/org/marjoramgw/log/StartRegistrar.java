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
 * Registers the start of this process. Retries on its own thread until the log contains
 * the start record.
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
	 * Creates a registrar and starts the registration immediately.
	 * @param stream stream of process starts
	 * @param start start record of this process
	 */
	public StartRegistrar(StartStream stream, StartRecord start) {
		this.stream = stream;
		this.start = start;
		this.executor = Executors.newSingleThreadScheduledExecutor(new DaemonThreadFactory("start-record"));
		this.executor.execute(this::register);
	}

	/**
	 * Returns the fencing number of this incarnation, the offset of its start record.
	 * @return completes when the log contains the record
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
			Logger.warn("process start not registered yet, retrying: {}", ex.getMessage());
			long backoffMillis = ThreadLocalRandom.current().nextLong(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
			if (!this.executor.isShutdown()) {
				this.executor.schedule(this::register, backoffMillis, TimeUnit.MILLISECONDS);
			}
		}
	}

}
