package org.marjoramgw.direct.follow;

import java.util.Optional;

import org.marjoramgw.time.ClockReading;

/**
 * Progress of the reads of a topic to an end that the topic once had. Not thread-safe.
 * <p>
 * A read confirms the state of the listener only once everything that the topic contained
 * when the read was sent has been delivered, which may take several more reads. Records
 * that are appended meanwhile don't postpone the confirmation.
 *
 * @author The marjoramgw authors
 */
final class CatchUp {

	private long targetOffset;

	private ClockReading targetSent;

	/**
	 * Records a read whose records were delivered.
	 * @param slice result of the read
	 * @param sent when the read was sent
	 * @return the time as of which everything was delivered, or empty if there is no
	 * later one than before
	 */
	Optional<ClockReading> onDelivered(TopicSlice slice, ClockReading sent) {
		if (slice.reachesEnd()) {
			this.targetSent = null;
			return Optional.of(sent);
		}
		Optional<ClockReading> reached = Optional.empty();
		if (this.targetSent != null && slice.nextOffset() >= this.targetOffset) {
			reached = Optional.of(this.targetSent);
			this.targetSent = null;
		}
		if (this.targetSent == null) {
			this.targetSent = sent;
			this.targetOffset = slice.endOffset();
		}
		return reached;
	}

	/**
	 * Forgets the earlier reads.
	 */
	void restart() {
		this.targetSent = null;
	}

}
