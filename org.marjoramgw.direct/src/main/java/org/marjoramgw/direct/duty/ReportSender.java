package org.marjoramgw.direct.duty;

import java.util.HashMap;
import java.util.Map;

import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.lease.LeaseState;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.usage.ReportBook;
import org.marjoramgw.policy.usage.WindowCounts;
import org.marjoramgw.time.AgeClock;
import org.tinylog.Logger;

/**
 * Sends recorded reports while this process holds the lease, the oldest first, and
 * repeats each until it is accepted. Guarded by the lock of the duty.
 *
 * @author The marjoramgw authors
 */
final class ReportSender {

	/** Reports that are sent concurrently, so that a slow call doesn't delay others. */
	private static final int MAX_OPEN = 4;

	/** The same while calls fail, so that the oldest reports are tried and no others. */
	private static final int MAX_OPEN_AFTER_FAILURE = 2;

	/** Timeout of the first call; doubles with each further one. */
	private static final long TIMEOUT_MILLIS = 1_500;

	private static final int MAX_TIMEOUT_DOUBLINGS = 2;

	/** Number of noted reports from which finished ones are forgotten. */
	private static final int MAX_NOTED = 64;

	/** Calls after which a report that the receiver rejects is given up. */
	private static final int MAX_REJECTIONS = 10;

	private final String process;

	private final UsageReports reports;

	private final ReportBook book;

	private final LeaseState lease;

	private final AgeClock clock;

	private final MillisClock steadyClock;

	private final Backoff backoff;

	private final Object lock;

	private final Map<Long, Sending> sendings = new HashMap<>();

	private int failuresInRow;

	private long notBeforeMillis = Long.MIN_VALUE;

	private long acceptedCount;

	private long failedCount;

	/**
	 * Creates a sender.
	 * @param process id of this process
	 * @param reports receiver of the reports
	 * @param book the reports
	 * @param lease state of the lease
	 * @param clock clock that measures ages
	 * @param steadyClock steady clock
	 * @param backoff delays before failed calls are repeated
	 * @param lock lock of the duty
	 */
	ReportSender(String process, UsageReports reports, ReportBook book, LeaseState lease, AgeClock clock,
			MillisClock steadyClock, Backoff backoff, Object lock) {
		this.process = process;
		this.reports = reports;
		this.book = book;
		this.lease = lease;
		this.clock = clock;
		this.steadyClock = steadyClock;
		this.backoff = backoff;
		this.lock = lock;
	}

	/**
	 * Sends the reports that are open, if this process may.
	 */
	void sendDue() {
		if (this.sendings.size() > MAX_NOTED) {
			// Another holder has sent these.
			this.sendings.keySet().removeIf((window) -> this.book.content(window).isEmpty());
		}
		int maxOpen = (this.failuresInRow > 0) ? MAX_OPEN_AFTER_FAILURE : MAX_OPEN;
		long openCount = this.sendings.values().stream().filter((sending) -> sending.open).count();
		for (WindowCounts report : this.book.toSend()) {
			if (openCount >= maxOpen || this.steadyClock.nowMillis() < this.notBeforeMillis
					|| !this.lease.isHeld(this.clock.now())) {
				return;
			}
			Sending sending = this.sendings.computeIfAbsent(report.window(), (window) -> new Sending());
			if (!sending.open && this.steadyClock.nowMillis() >= sending.notBeforeMillis) {
				openCount++;
				send(report, sending);
			}
		}
	}

	/**
	 * Returns the number of reports that were accepted.
	 * @return the number
	 */
	long acceptedCount() {
		return this.acceptedCount;
	}

	/**
	 * Returns the number of calls that were not accepted.
	 * @return the number
	 */
	long failedCount() {
		return this.failedCount;
	}

	private void send(WindowCounts report, Sending sending) {
		long token = this.lease.token();
		long timeoutMillis = TIMEOUT_MILLIS << Math.min(MAX_TIMEOUT_DOUBLINGS, sending.callCount);
		sending.open = true;
		sending.callCount++;
		this.reports.send(report, this.process, token, timeoutMillis).whenComplete((answer, failure) -> {
			synchronized (this.lock) {
				sending.open = false;
				onAnswer(report, sending, token, answer, failure);
			}
		});
	}

	private void onAnswer(WindowCounts report, Sending sending, long token, UsageReports.Answer answer,
			Throwable failure) {
		if (answer == UsageReports.Answer.ACCEPTED || isGivenUp(answer, sending)) {
			Logger.info("usage report of window {} answer={} calls={} token={}", report.window(), answer,
					sending.callCount, token);
			this.acceptedCount++;
			this.failuresInRow = 0;
			this.notBeforeMillis = Long.MIN_VALUE;
			this.sendings.remove(report.window());
			this.book.onAccepted(report.window());
			return;
		}
		this.failedCount++;
		if (answer == UsageReports.Answer.REJECTED) {
			sending.notBeforeMillis = this.steadyClock.nowMillis() + this.backoff.delayMillis(sending.callCount);
		}
		else {
			this.failuresInRow++;
			this.notBeforeMillis = this.steadyClock.nowMillis() + this.backoff.delayMillis(this.failuresInRow);
		}
		if (sending.callCount == 1) {
			Logger.warn("usage report of window {} not accepted yet: {}", report.window(),
					(failure != null) ? failure.toString() : answer);
		}
		if (answer == UsageReports.Answer.TOKEN_REFUSED) {
			this.lease.onRefused(token, this.clock.now());
		}
	}

	private static boolean isGivenUp(UsageReports.Answer answer, Sending sending) {
		return answer == UsageReports.Answer.REJECTED && sending.callCount >= MAX_REJECTIONS;
	}

	/** Calls for one report. */
	private static final class Sending {

		private boolean open;

		private int callCount;

		private long notBeforeMillis = Long.MIN_VALUE;

	}

}
