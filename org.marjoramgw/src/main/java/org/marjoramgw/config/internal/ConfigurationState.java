package org.marjoramgw.config.internal;

import java.util.Optional;

import org.marjoramgw.log.LogRecord;

/**
 * Accepted state as a function of the records of the stream {@code config} in the order
 * of their offsets.
 * <p>
 * A publish record is accepted if its digest fits its text and its base is the current
 * revision; nothing else counts, so that any two releases agree. A copy of a record is
 * refused by the same rule, since its base has passed. The state only moves forward: the
 * revision and the next offset never fall.
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
	 * Applies the next record; one that is already reflected, or that lies beyond the
	 * next offset, is ignored.
	 * @param record the record
	 * @return whether it was the next one
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
	 * Continues from a state that was worked out elsewhere, unless it is behind this one.
	 * @param state the accepted text
	 * @param stateNextOffset first offset that it doesn't reflect
	 * @return whether it was taken
	 */
	public boolean advanceTo(AcceptedText state, long stateNextOffset) {
		if (state.revision() < revision() || stateNextOffset <= this.nextOffset) {
			return false;
		}
		if (state.revision() > revision()) {
			this.accepted = state;
		}
		this.nextOffset = stateNextOffset;
		return true;
	}

	/**
	 * Notes a checkpoint in the log, from which later readers can start.
	 * @param checkpoint the checkpoint
	 * @param timeMillis when the log took it, in milliseconds
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
	 * Returns the first offset that the state doesn't reflect.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the offset that the latest checkpoint reflects up to.
	 * @return the first offset that it doesn't reflect, 0 before any checkpoint
	 */
	public long checkpointOffset() {
		return this.checkpointOffset;
	}

	/**
	 * Returns when the latest checkpoint was appended.
	 * @return milliseconds by the log's clock, {@link Long#MIN_VALUE} before any
	 */
	public long checkpointTimeMillis() {
		return this.checkpointTimeMillis;
	}

	private void applyPublish(ConfigurationRecord.Publish publish, long timeMillis) {
		boolean digestFits = ConfigurationRecordCodec.sha256(publish.text()).equals(publish.sha256());
		if (digestFits && publish.baseRevision() == revision()) {
			this.accepted = new AcceptedText(revision() + 1, publish.id(), publish.operator(), timeMillis,
					publish.text());
		}
	}

}
