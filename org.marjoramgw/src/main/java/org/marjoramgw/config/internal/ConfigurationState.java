package org.marjoramgw.config.internal;

import java.util.Optional;

import org.marjoramgw.log.LogRecord;

/**
 * Accepted configuration, derived by applying the records of the stream {@code config} in
 * the order of their offsets.
 * <p>
 * A publish record is accepted if its digest matches its text and its base is the current
 * revision. No other condition applies, so that processes of different releases always
 * agree. A second copy of an accepted record is rejected by the same rule, since its base
 * is no longer the current revision. The revision and the next offset never decrease.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationState {

	private final ConfigurationRecordCodec codec;

	private AcceptedText accepted;

	private long nextOffset;

	private long checkpointOffset;

	private long checkpointTimeMillis = Long.MIN_VALUE;

	/**
	 * Creates the state of an empty stream.
	 * @param codec codec of the records
	 */
	public ConfigurationState(ConfigurationRecordCodec codec) {
		this.codec = codec;
	}

	/**
	 * Applies the next record. A record with an offset other than the next one is
	 * ignored.
	 * @param record the record
	 * @return whether the record had the next offset
	 */
	public boolean apply(LogRecord record) {
		if (record.offset() != this.nextOffset) {
			return false;
		}
		this.nextOffset = record.offset() + 1;
		Optional<ConfigurationRecord> decoded = this.codec.decode(record.data());
		if (decoded.isEmpty()) {
			return true;
		}
		if (decoded.get() instanceof ConfigurationRecord.Publish publish) {
			applyPublish(publish, record.timeMillis());
		}
		if (decoded.get() instanceof ConfigurationRecord.Checkpoint checkpoint) {
			recordCheckpoint(checkpoint, record.timeMillis());
		}
		return true;
	}

	/**
	 * Advances to a state from a checkpoint or a peer, unless that state is older than
	 * this one.
	 * @param text accepted text of that state
	 * @param textNextOffset offset of the first record that it doesn't include
	 * @return whether the state was advanced
	 */
	public boolean advanceTo(AcceptedText text, long textNextOffset) {
		if (text.revision() < revision() || textNextOffset <= this.nextOffset) {
			return false;
		}
		if (text.revision() > revision()) {
			this.accepted = text;
		}
		this.nextOffset = textNextOffset;
		return true;
	}

	/**
	 * Records that the log contains a checkpoint from which other readers can start.
	 * @param checkpoint the checkpoint
	 * @param timeMillis time of the checkpoint record by the log's clock, in milliseconds
	 */
	public void recordCheckpoint(ConfigurationRecord.Checkpoint checkpoint, long timeMillis) {
		if (checkpoint.nextOffset() >= this.checkpointOffset) {
			this.checkpointOffset = checkpoint.nextOffset();
			this.checkpointTimeMillis = timeMillis;
		}
	}

	/**
	 * Returns the accepted text.
	 * @return the text, or empty before the first revision
	 */
	public Optional<AcceptedText> accepted() {
		return Optional.ofNullable(this.accepted);
	}

	/**
	 * Returns the current revision.
	 * @return the revision, 0 before the first
	 */
	public long revision() {
		return (this.accepted != null) ? this.accepted.revision() : 0;
	}

	/**
	 * Returns the offset of the next record to apply.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the offset from which a reader continues after the latest checkpoint.
	 * @return offset of the first record that the checkpoint doesn't include, 0 before
	 * any checkpoint
	 */
	public long checkpointOffset() {
		return this.checkpointOffset;
	}

	/**
	 * Returns the time at which the latest checkpoint was appended.
	 * @return milliseconds by the log's clock, {@link Long#MIN_VALUE} before any
	 * checkpoint
	 */
	public long checkpointTimeMillis() {
		return this.checkpointTimeMillis;
	}

	private void applyPublish(ConfigurationRecord.Publish publish, long timeMillis) {
		boolean digestMatches = ConfigurationRecordCodec.sha256(publish.text()).equals(publish.sha256());
		if (digestMatches && publish.baseRevision() == revision()) {
			this.accepted = new AcceptedText(revision() + 1, publish.id(), publish.operator(), timeMillis,
					publish.text());
		}
	}

}
