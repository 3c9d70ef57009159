package org.marjoramgw.config.internal;

import java.util.Optional;

import org.marjoramgw.config.PublishResult;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogRecord;
import org.marjoramgw.log.LogService;

/**
 * Tracks one publish record in the stream {@code config} until its result is known.
 *
 * @author The marjoramgw authors
 */
public final class PublishTracker {

	private final ConfigurationRecord.Publish record;

	private final ConfigurationState state;

	private final ConfigurationLogReader reader;

	private PublishResult result;

	private boolean inLog;

	private boolean mayBeInLog;

	private boolean readSinceAppend;

	private boolean recordsSkipped;

	private LogUnavailableException refusal;

	/**
	 * Creates a tracker.
	 * @param log the log service
	 * @param codec codec of the records
	 * @param record the record to track
	 */
	public PublishTracker(LogService log, ConfigurationRecordCodec codec, ConfigurationRecord.Publish record) {
		this.record = record;
		this.state = new ConfigurationState(codec);
		this.reader = new ConfigurationLogReader(log, codec, this.state);
	}

	/**
	 * Reads the stream to its end and determines the result if possible.
	 * @return whether the whole stream was read
	 * @throws LogUnavailableException if the log can't be read
	 */
	public boolean read() throws LogUnavailableException {
		int restartsBefore = this.reader.checkpointRestarts();
		boolean complete = this.reader.catchUp(this::checkAccepted);
		if (this.mayBeInLog && this.reader.checkpointRestarts() != restartsBefore) {
			// The record may be among those that expired before they were read.
			this.recordsSkipped = true;
		}
		checkAccepted(null);
		this.readSinceAppend = complete;
		if (complete && this.result == null && !this.recordsSkipped
				&& this.state.revision() != this.record.baseRevision()) {
			this.result = conflict();
		}
		return complete;
	}

	/**
	 * Called when a read failed.
	 */
	public void readFailed() {
		this.readSinceAppend = false;
	}

	/**
	 * Tells whether the record has to be appended, again or for the first time.
	 * @return whether the latest read shows that the log doesn't contain the record
	 */
	public boolean needsAppend() {
		return !this.inLog && this.readSinceAppend && !this.recordsSkipped;
	}

	/**
	 * Called when the record was appended.
	 */
	public void appended() {
		this.inLog = true;
		this.mayBeInLog = true;
		this.readSinceAppend = false;
	}

	/**
	 * Called when the response to the append was lost.
	 */
	public void appendOutcomeUnknown() {
		this.mayBeInLog = true;
		this.readSinceAppend = false;
	}

	/**
	 * Called when the log service refused the append.
	 * @param cause the refusal
	 */
	public void appendRefused(LogUnavailableException cause) {
		this.refusal = cause;
	}

	/**
	 * Returns the result.
	 * @return the result, or empty while it isn't known
	 */
	public Optional<PublishResult> result() {
		return Optional.ofNullable(this.result);
	}

	/**
	 * Returns the log service's refusal if the log certainly doesn't contain the record.
	 * @return the latest refusal, or empty if the record may be in the log
	 */
	public Optional<LogUnavailableException> refusal() {
		return this.mayBeInLog ? Optional.empty() : Optional.ofNullable(this.refusal);
	}

	private void checkAccepted(LogRecord applied) {
		Optional<AcceptedText> accepted = this.state.accepted();
		if (accepted.isPresent() && accepted.get().id().equals(this.record.id())) {
			this.result = new PublishResult.Accepted(accepted.get().revision());
		}
	}

	private PublishResult conflict() {
		String operator = this.state.accepted().map(AcceptedText::operator).orElse("");
		return new PublishResult.Conflict(this.state.revision(), operator);
	}

}
