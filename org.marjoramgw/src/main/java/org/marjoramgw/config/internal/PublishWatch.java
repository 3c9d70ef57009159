package org.marjoramgw.config.internal;

import java.util.Optional;

import org.marjoramgw.config.PublishVerdict;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogRecord;
import org.marjoramgw.log.LogService;

/**
 * Watch over the stream for the verdict on one publish record.
 *
 * @author The marjoramgw authors
 */
public final class PublishWatch {

	private final ConfigurationRecord.Publish record;

	private final ConfigurationFold fold;

	private final ConfigurationLogReader reader;

	private PublishVerdict verdict;

	private boolean inLog;

	private boolean mayBeInLog;

	private boolean readSinceAppend;

	private boolean skipped;

	private LogUnavailableException refusal;

	/**
	 * Creates a watch.
	 * @param log the log service
	 * @param codec codec of the records
	 * @param record the record to look for
	 */
	public PublishWatch(LogService log, ConfigurationRecordCodec codec, ConfigurationRecord.Publish record) {
		this.record = record;
		this.fold = new ConfigurationFold(codec);
		this.reader = new ConfigurationLogReader(log, codec, this.fold);
	}

	/**
	 * Reads the stream to its end and settles the verdict if it can be.
	 * @return whether the state reflects the whole stream
	 * @throws LogUnavailableException if the log can't be read
	 */
	public boolean read() throws LogUnavailableException {
		int startsBefore = this.reader.checkpointStarts();
		boolean complete = this.reader.catchUp(this::look);
		if (this.mayBeInLog && this.reader.checkpointStarts() != startsBefore) {
			// The record may be among those that expired unread.
			this.skipped = true;
		}
		look(null);
		this.readSinceAppend = complete;
		if (complete && this.verdict == null && !this.skipped && this.fold.revision() != this.record.baseRevision()) {
			this.verdict = conflict();
		}
		return complete;
	}

	/**
	 * Notes that a read failed.
	 */
	public void readFailed() {
		this.readSinceAppend = false;
	}

	/**
	 * Tells whether the record isn't in the log, as far as the latest read shows.
	 * @return whether to append it
	 */
	public boolean needsAppend() {
		return !this.inLog && this.readSinceAppend && !this.skipped;
	}

	/**
	 * Notes that the record was appended.
	 */
	public void appended() {
		this.inLog = true;
		this.mayBeInLog = true;
		this.readSinceAppend = false;
	}

	/**
	 * Notes that the answer to the append was lost.
	 */
	public void appendLost() {
		this.mayBeInLog = true;
		this.readSinceAppend = false;
	}

	/**
	 * Notes that the log refused the append.
	 * @param cause the refusal
	 */
	public void appendRefused(LogUnavailableException cause) {
		this.refusal = cause;
	}

	/**
	 * Returns the verdict.
	 * @return the verdict, or empty while it isn't known
	 */
	public Optional<PublishVerdict> verdict() {
		return Optional.ofNullable(this.verdict);
	}

	/**
	 * Returns the log's refusal if the record is surely not in the log.
	 * @return the latest refusal, or empty if the record may be in the log
	 */
	public Optional<LogUnavailableException> refusal() {
		return this.mayBeInLog ? Optional.empty() : Optional.ofNullable(this.refusal);
	}

	private void look(LogRecord applied) {
		Optional<AcceptedText> accepted = this.fold.accepted();
		if (accepted.isPresent() && accepted.get().id().equals(this.record.id())) {
			this.verdict = new PublishVerdict.Accepted(accepted.get().revision());
		}
	}

	private PublishVerdict conflict() {
		String operator = this.fold.accepted().map(AcceptedText::operator).orElse("");
		return new PublishVerdict.Conflict(this.fold.revision(), operator);
	}

}
