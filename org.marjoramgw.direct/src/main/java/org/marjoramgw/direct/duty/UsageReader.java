package org.marjoramgw.direct.duty;

import java.util.List;

import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.follow.CompactedTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicReader;
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

	private final MillisClock clock;

	private final UsageLedger ledger;

	private final StandbyChoice standbys;

	private final Object lock;

	private TopicReader reader;

	private boolean reading;

	private boolean loaded;

	private int generation;

	/**
	 * Creates a reader.
	 * @param topic topic of the usage
	 * @param clock monotonic clock
	 * @param ledger receiver of the counts
	 * @param standbys receiver of the processes that have shared counts
	 * @param lock lock of the duty
	 */
	UsageReader(CompactedTopic topic, MillisClock clock, UsageLedger ledger, StandbyChoice standbys, Object lock) {
		this.topic = topic;
		this.clock = clock;
		this.ledger = ledger;
		this.standbys = standbys;
		this.lock = lock;
		reset();
	}

	/**
	 * Forgets the counts, which are not followed any more.
	 */
	void reset() {
		this.generation++;
		this.reading = false;
		this.loaded = false;
		this.ledger.clear();
		this.reader = new TopicReader(this.topic, this.clock, new CountListener(this.generation));
	}

	boolean isReading() {
		return this.reading;
	}

	/**
	 * Tells whether the topic was read once.
	 * @return whether it was
	 */
	boolean isLoaded() {
		return this.loaded;
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
		int ofGeneration = this.generation;
		this.reader.read().whenComplete((ignored, failure) -> {
			synchronized (this.lock) {
				if (ofGeneration == this.generation) {
					this.reading = false;
					((failure != null) ? onFailure : onCurrent).run();
				}
			}
		});
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

	/** Receiver of the counts until the reader is reset. */
	private final class CountListener implements TopicReader.Listener {

		private final int ofGeneration;

		private CountListener(int ofGeneration) {
			this.ofGeneration = ofGeneration;
		}

		@Override
		public void onSnapshot(List<KeyedRecord> records, boolean otherEra) {
			synchronized (UsageReader.this.lock) {
				if (this.ofGeneration == UsageReader.this.generation) {
					UsageReader.this.ledger.clear();
					records.forEach(UsageReader.this::accept);
					UsageReader.this.loaded = true;
				}
			}
		}

		@Override
		public void onRecords(List<KeyedRecord> records) {
			synchronized (UsageReader.this.lock) {
				if (this.ofGeneration == UsageReader.this.generation) {
					records.forEach(UsageReader.this::accept);
				}
			}
		}

	}

}
