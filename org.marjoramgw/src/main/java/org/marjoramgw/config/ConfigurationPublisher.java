package org.marjoramgw.config;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

import org.marjoramgw.MillisClock;
import org.marjoramgw.config.internal.ConfigurationRecord;
import org.marjoramgw.config.internal.ConfigurationRecordCodec;
import org.marjoramgw.config.internal.PublishTracker;
import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogService;

/**
 * Publisher of an operator's text.
 * <p>
 * It answers only after it has read the verdict back from the log. After a lost answer it
 * reads the log before it appends again; a copy of a record that was accepted is
 * harmless, since its base has passed.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationPublisher {

	private static final long MIN_PAUSE_MILLIS = 50;

	private static final long MAX_PAUSE_MILLIS = 150;

	private final LogService log;

	private final MillisClock clock;

	private final long timeoutMillis;

	private final ConfigurationRecordCodec codec = new ConfigurationRecordCodec();

	/**
	 * Creates a publisher.
	 * @param log the log service
	 * @param clock the clock
	 * @param timeoutMillis time limit of one publish, in milliseconds
	 */
	public ConfigurationPublisher(LogService log, MillisClock clock, long timeoutMillis) {
		this.log = log;
		this.clock = clock;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Publishes a text that was checked; blocks until the verdict is known or the time is
	 * over.
	 * @param text the TOML text
	 * @param baseRevision revision that the text was made from, 0 for the first
	 * @param operator who publishes
	 * @return the verdict
	 * @throws LogUnavailableException if nothing was appended
	 */
	public PublishResult publish(String text, long baseRevision, String operator) throws LogUnavailableException {
		ConfigurationRecord.Publish record = new ConfigurationRecord.Publish(UUID.randomUUID().toString(), baseRevision,
				ConfigurationRecordCodec.sha256(text), text, operator);
		PublishTracker watch = new PublishTracker(this.log, this.codec, record);
		if (!watch.read()) {
			throw new LogUnavailableException("stream of the configuration can't be read to its end", null);
		}
		long deadlineMillis = this.clock.nowMillis() + this.timeoutMillis;
		while (watch.result().isEmpty()) {
			if (watch.needsAppend()) {
				append(record, watch);
			}
			readQuietly(watch);
			if (watch.result().isEmpty() && (this.clock.nowMillis() > deadlineMillis || !pause())) {
				return resultAfterTimeout(watch);
			}
		}
		return watch.result().get();
	}

	private void append(ConfigurationRecord.Publish record, PublishTracker watch) {
		try {
			this.log.append(ConfigurationRecordCodec.STREAM, List.of(this.codec.encode(record)));
			watch.appended();
		}
		catch (LogUnavailableException ex) {
			watch.appendRefused(ex);
		}
		catch (LogAnswerLostException ex) {
			watch.appendOutcomeUnknown();
		}
	}

	private static void readQuietly(PublishTracker watch) {
		try {
			watch.read();
		}
		catch (LogUnavailableException ex) {
			watch.readFailed();
		}
	}

	private static PublishResult resultAfterTimeout(PublishTracker watch) throws LogUnavailableException {
		if (watch.refusal().isPresent()) {
			throw watch.refusal().get();
		}
		return new PublishResult.Unknown();
	}

	private static boolean pause() {
		try {
			Thread.sleep(ThreadLocalRandom.current().nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
