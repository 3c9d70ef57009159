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
 * Publishes configuration texts of operators to the log.
 * <p>
 * The result is known only after the record has been read back from the log. If the
 * response to an append is lost, the log is read before the record is appended again. A
 * second copy of an accepted record is harmless, since its base revision is no longer the
 * current one.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationPublisher {

	private static final long MIN_RETRY_DELAY_MILLIS = 50;

	private static final long MAX_RETRY_DELAY_MILLIS = 150;

	private final LogService log;

	private final MillisClock clock;

	private final long timeoutMillis;

	private final ConfigurationRecordCodec codec = new ConfigurationRecordCodec();

	/**
	 * Creates a publisher.
	 * @param log the log service
	 * @param clock the clock
	 * @param timeoutMillis timeout of a publish operation, in milliseconds
	 */
	public ConfigurationPublisher(LogService log, MillisClock clock, long timeoutMillis) {
		this.log = log;
		this.clock = clock;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Publishes a text that has been validated; blocks until the result is known or the
	 * operation times out.
	 * @param text the TOML text
	 * @param baseRevision revision that the text is based on, 0 for the first
	 * @param operator name of the operator who publishes
	 * @return the result
	 * @throws LogUnavailableException if nothing was appended
	 */
	public PublishResult publish(String text, long baseRevision, String operator) throws LogUnavailableException {
		ConfigurationRecord.Publish record = new ConfigurationRecord.Publish(UUID.randomUUID().toString(), baseRevision,
				ConfigurationRecordCodec.sha256(text), text, operator);
		PublishTracker tracker = new PublishTracker(this.log, this.codec, record);
		if (!tracker.read()) {
			throw new LogUnavailableException("configuration stream can't be read to its end", null);
		}
		long deadlineMillis = this.clock.nowMillis() + this.timeoutMillis;
		while (tracker.result().isEmpty()) {
			if (tracker.needsAppend()) {
				append(record, tracker);
			}
			readQuietly(tracker);
			if (tracker.result().isEmpty() && (this.clock.nowMillis() > deadlineMillis || !sleepBeforeRetry())) {
				return resultAfterTimeout(tracker);
			}
		}
		return tracker.result().get();
	}

	private void append(ConfigurationRecord.Publish record, PublishTracker tracker) {
		try {
			this.log.append(ConfigurationRecordCodec.STREAM, List.of(this.codec.encode(record)));
			tracker.appended();
		}
		catch (LogUnavailableException ex) {
			tracker.appendRefused(ex);
		}
		catch (LogAnswerLostException ex) {
			tracker.appendOutcomeUnknown();
		}
	}

	private static void readQuietly(PublishTracker tracker) {
		try {
			tracker.read();
		}
		catch (LogUnavailableException ex) {
			tracker.readFailed();
		}
	}

	private static PublishResult resultAfterTimeout(PublishTracker tracker) throws LogUnavailableException {
		if (tracker.refusal().isPresent()) {
			throw tracker.refusal().get();
		}
		return new PublishResult.Unknown();
	}

	private static boolean sleepBeforeRetry() {
		try {
			Thread.sleep(ThreadLocalRandom.current().nextLong(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS));
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
