package org.marjoramgw.standin.log;

import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.http.javadsl.server.Route;
import org.marjoramgw.standin.HttpStandin;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.standin.TokenBucket;

/**
 * Log service stand-in with retention, a rate limit and fault injection.
 *
 * @author The marjoramgw authors
 */
public final class LogStandin extends HttpStandin {

	private final LogStore store;

	private final TokenBucket appends;

	private final AtomicInteger responsesToLose = new AtomicInteger();

	private volatile boolean outage;

	private volatile long delayMillis;

	private LogStandin(StandinSystem system, LogSettings settings) {
		super(system, settings.httpAddress());
		this.store = new LogStore(system.clock(), settings.retentionRecordCount(), settings.retentionMillis());
		this.appends = new TokenBucket(system.clock(), settings.appendsPerSecond(), settings.burstCount());
	}

	/**
	 * Starts a stand-in.
	 * @param system the shared actor system and timer
	 * @param settings its settings
	 * @return the running stand-in
	 */
	public static LogStandin start(StandinSystem system, LogSettings settings) {
		return startListening(new LogStandin(system, settings));
	}

	/**
	 * Applies fault settings.
	 * @param control the faults
	 */
	public void control(LogControl control) {
		if (control.outage() != null) {
			this.outage = control.outage();
		}
		if (control.loseAnswers() != null) {
			this.responsesToLose.set(control.loseAnswers());
		}
		if (control.delayMs() != null) {
			this.delayMillis = control.delayMs();
		}
		if (control.retentionRecords() != null) {
			this.store.setRetentionRecordCount(control.retentionRecords());
		}
	}

	/**
	 * Returns the usage counters.
	 * @return counts since the start
	 */
	public LogUsage usage() {
		return this.store.usage();
	}

	@Override
	protected Route route() {
		return new LogRoutes(system(), this).route();
	}

	LogStore store() {
		return this.store;
	}

	boolean isOutage() {
		return this.outage;
	}

	long delayMillis() {
		return this.delayMillis;
	}

	boolean tryAppend() {
		return this.appends.tryAcquire();
	}

	boolean tryLoseResponse() {
		return this.responsesToLose.getAndUpdate((remaining) -> Math.max(remaining - 1, 0)) > 0;
	}

}
