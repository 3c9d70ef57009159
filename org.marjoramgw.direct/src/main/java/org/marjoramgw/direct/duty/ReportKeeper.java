package org.marjoramgw.direct.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;

import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.lease.StandbyChoice;
import org.marjoramgw.policy.usage.ReportBook;
import org.marjoramgw.policy.usage.TrueClock;
import org.marjoramgw.policy.usage.UsageLedger;
import org.marjoramgw.policy.usage.UsageWindows;
import org.marjoramgw.policy.usage.WindowCounts;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Duty of the holder: sums the counts of each window, records the content of its report
 * together with a renewal of the lease, lets it be sent, and deletes what is finished.
 * Guarded by the lock of the duty.
 *
 * @author The marjoramgw authors
 */
final class ReportKeeper implements LeaseDriver.Duty {

	private static final long TICK_MILLIS = 200;

	/** Delay of the next read after one that failed. */
	private static final long RETRY_MILLIS = 600;

	/** Interval of the reads while no standby is known. */
	private static final long SEARCH_MILLIS = 1_500;

	/** Time after the acquisition of the lease in which standbys are searched for. */
	private static final long MAX_SEARCH_MILLIS = 10_000;

	/** Finished windows whose counts are deleted by one call. */
	private static final int WINDOWS_PER_DELETION = 6;

	private static final int MAX_DELETED_RECORDS = 1_000;

	/** Finished windows whose reports are deleted although that may have been done. */
	private static final int REPEATED_DELETIONS = 4;

	private final AppendableTopic topic;

	private final UsageLedger ledger;

	private final UsageReader reader;

	private final ReportBook book;

	private final ReportSender sender;

	private final StandbyChoice standbyChoice;

	private final TrueClock trueClock;

	private final Timers timers;

	private final Object lock;

	private final TreeMap<Long, SortedMap<String, Integer>> pending = new TreeMap<>();

	private final long startWindow;

	private Runnable wake;

	private int term;

	private boolean owned;

	private boolean begun;

	private boolean deleting;

	private long retryMillis;

	private long readMillis;

	private long acquiredMillis;

	private OptionalLong deletedUpTo = OptionalLong.empty();

	/**
	 * Creates a keeper.
	 * @param topic topic of the usage
	 * @param ledger shared counts
	 * @param reader reader of the shared counts
	 * @param book the reports
	 * @param sender sender of the reports
	 * @param standbyChoice choice of the processes that observe the lease
	 * @param windows the windows
	 * @param trueClock clock of the true time
	 * @param timers timers
	 * @param lock lock of the duty
	 */
	ReportKeeper(AppendableTopic topic, UsageLedger ledger, UsageReader reader, ReportBook book, ReportSender sender,
			StandbyChoice standbyChoice, UsageWindows windows, TrueClock trueClock, Timers timers, Object lock) {
		this.topic = topic;
		this.ledger = ledger;
		this.reader = reader;
		this.book = book;
		this.sender = sender;
		this.standbyChoice = standbyChoice;
		this.startWindow = windows.at(trueClock.nowMillis());
		this.trueClock = trueClock;
		this.timers = timers;
		this.lock = lock;
	}

	/**
	 * Sets what lets the lease be renewed early.
	 * @param action called when something is to be appended
	 */
	void onPending(Runnable action) {
		this.wake = action;
	}

	@Override
	public void onRecords(List<KeyedRecord> records) {
		for (KeyedRecord record : records) {
			DutyCodec.decodeDone(record).ifPresent(this.book::onDone);
			DutyCodec.decodeReport(record).ifPresent((report) -> {
				this.book.onRecorded(report.window(), report.counts());
				if (this.pending.remove(report.window()) != null) {
					Logger.info("usage report of window {} recorded, accounts={}", report.window(),
							report.counts().size());
				}
			});
		}
		if (this.owned) {
			this.sender.sendDue();
		}
	}

	@Override
	public void onAcquired() {
		this.owned = true;
		this.term++;
		this.acquiredMillis = this.trueClock.nowMillis();
		tick(this.term);
	}

	@Override
	public void onLost() {
		this.owned = false;
		this.begun = false;
		this.deleting = false;
		this.pending.clear();
		this.reader.reset();
	}

	@Override
	public boolean hasToAppend() {
		return !this.pending.isEmpty();
	}

	@Override
	public List<KeyedRecord> toAppend() {
		List<KeyedRecord> records = new ArrayList<>();
		this.pending.forEach((window, counts) -> records.add(DutyCodec.encodeReport(new WindowCounts(window, counts))));
		this.book.doneToRecord().ifPresent((done) -> {
			records.add(DutyCodec.encodeDone(done));
			long from = this.book.recordedDone().orElse(done) - REPEATED_DELETIONS;
			for (long window = from + 1; window <= done; window++) {
				records.add(DutyCodec.deletionOfReport(window));
			}
		});
		return records;
	}

	@Override
	public List<String> standbys() {
		return this.owned ? this.standbyChoice.choose() : List.of();
	}

	private void tick(int ofTerm) {
		synchronized (this.lock) {
			if (!this.owned || ofTerm != this.term) {
				return;
			}
			readIfDue();
			this.sender.sendDue();
			deleteFinished();
			this.timers.schedule(TICK_MILLIS, () -> tick(ofTerm));
		}
	}

	private void readIfDue() {
		long nowMillis = this.trueClock.nowMillis();
		if (this.reader.isReading() || nowMillis < this.retryMillis) {
			return;
		}
		if (!this.reader.isLoaded() || isReportDue(nowMillis) || needsStandbys(nowMillis)) {
			this.readMillis = nowMillis;
			this.reader.update(this::onCurrent, () -> this.retryMillis = this.trueClock.nowMillis() + RETRY_MILLIS);
		}
	}

	private boolean isReportDue(long nowMillis) {
		return this.begun ? !this.pending.keySet().containsAll(this.book.toRecord(nowMillis))
				: this.book.mayBegin(this.startWindow, nowMillis);
	}

	/**
	 * Tells whether to look for other processes, which make themselves known some seconds
	 * after their start.
	 * @param nowMillis true time, in milliseconds since the Unix epoch
	 * @return whether no standby is known and the lease was acquired lately
	 */
	private boolean needsStandbys(long nowMillis) {
		return nowMillis - this.acquiredMillis < MAX_SEARCH_MILLIS && nowMillis - this.readMillis >= SEARCH_MILLIS
				&& standbys().isEmpty();
	}

	private void onCurrent() {
		long nowMillis = this.trueClock.nowMillis();
		if (!this.begun && this.book.mayBegin(this.startWindow, nowMillis)) {
			this.begun = true;
			this.book.begin(this.ledger::first, this.startWindow, nowMillis);
		}
		for (long window : this.book.toRecord(nowMillis)) {
			this.pending.computeIfAbsent(window, this.ledger::sum);
		}
		if (hasToAppend()) {
			this.wake.run();
		}
	}

	private void deleteFinished() {
		OptionalLong done = this.book.recordedDone();
		if (this.deleting || !this.begun || done.isEmpty()
				|| done.getAsLong() - this.deletedUpTo.orElse(Long.MIN_VALUE / 2) < WINDOWS_PER_DELETION) {
			return;
		}
		List<KeyedRecord> deletions = this.ledger.sourcesUpTo(done.getAsLong(), MAX_DELETED_RECORDS)
			.stream()
			.map((source) -> DutyCodec.deletionOfCounts(source.window(), source.name()))
			.toList();
		this.deletedUpTo = done;
		if (deletions.isEmpty()) {
			return;
		}
		this.deleting = true;
		this.topic.append(deletions).whenComplete((ignored, failure) -> {
			synchronized (this.lock) {
				this.deleting = false;
			}
		});
	}

}
