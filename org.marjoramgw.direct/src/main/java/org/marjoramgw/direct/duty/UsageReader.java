package org.marjoramgw.direct.duty;

import org.marjoramgw.direct.follow.CompactedTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPosition;
import org.marjoramgw.errors.RecordsExpiredException;
import org.marjoramgw.policy.lease.StandbyChoice;
import org.marjoramgw.policy.usage.UsageLedger;

/**
 * Reads the counts that all processes have shared, while this process holds the lease.
 * Guarded by the lock of the duty.
 *
 * @author The marjoramgw authors
 */
final class UsageReader {

	private final CompactedTopic topic;

	private final UsageLedger ledger;

	private final StandbyChoice standbys;

	private final Object lock;

	/** Position to read from next, {@code null} before the first snapshot. */
	private TopicPosition position;

	private boolean reading;

	private int generation;

	/**
	 * Creates a reader.
	 * @param topic topic of the usage
	 * @param ledger receiver of the counts
	 * @param standbys receiver of the processes that have shared counts
	 * @param lock lock of the duty
	 */
	UsageReader(CompactedTopic topic, UsageLedger ledger, StandbyChoice standbys, Object lock) {
		this.topic = topic;
		this.ledger = ledger;
		this.standbys = standbys;
		this.lock = lock;
	}

	/**
	 * Forgets the counts, which are not followed any more.
	 */
	void reset() {
		this.generation++;
		this.reading = false;
		this.position = null;
		this.ledger.clear();
	}

	boolean isReading() {
		return this.reading;
	}

	/**
	 * Tells whether the topic was read once.
	 * @return whether it was
	 */
	boolean isLoaded() {
		return this.position != null;
	}

	/**
	 * Reads everything that the topic contains at present, unless that goes on already.
	 * @param onCurrent called with the lock when it has been read
	 * @param onFailure called with the lock when it could not be read
	 */
	void update(Runnable onCurrent, Runnable onFailure) {
		if (this.reading) {
			return;
		}
		this.reading = true;
		Course course = new Course(this.generation, onCurrent, onFailure);
		if (this.position == null) {
			readSnapshot(course);
		}
		else {
			readNext(course);
		}
	}

	private void readSnapshot(Course course) {
		this.topic.readSnapshot().whenComplete((snapshot, failure) -> {
			synchronized (this.lock) {
				if (course.generation != this.generation) {
					return;
				}
				if (failure != null) {
					end(course.onFailure);
					return;
				}
				this.ledger.clear();
				snapshot.records().forEach(this::accept);
				this.position = snapshot.end();
				end(course.onCurrent);
			}
		});
	}

	private void readNext(Course course) {
		this.topic.readFrom(this.position, 0).whenComplete((slice, failure) -> {
			synchronized (this.lock) {
				if (course.generation != this.generation) {
					return;
				}
				if (failure != null) {
					this.position = RecordsExpiredException.isCauseOf(failure) ? null : this.position;
					end(course.onFailure);
					return;
				}
				slice.records().forEach(this::accept);
				this.position = slice.next();
				if (slice.reachesEnd() || slice.records().isEmpty()) {
					end(course.onCurrent);
				}
				else {
					readNext(course);
				}
			}
		});
	}

	private void end(Runnable then) {
		this.reading = false;
		then.run();
	}

	private void accept(KeyedRecord record) {
		DutyCodec.decodeCounts(record).ifPresent((shared) -> {
			String source = DutyCodec.source(shared.member());
			if (record.value().isEmpty()) {
				this.ledger.remove(shared.window(), source);
				return;
			}
			this.ledger.put(shared.window(), source, shared.revision(), shared.counts());
			this.standbys.onSeen(shared.member().process(), shared.member().failureDomain(), shared.window());
		});
	}

	/** Course of an update. */
	private record Course(int generation, Runnable onCurrent, Runnable onFailure) {
	}

}
