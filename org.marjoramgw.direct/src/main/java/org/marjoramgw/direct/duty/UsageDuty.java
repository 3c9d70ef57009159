package org.marjoramgw.direct.duty;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.lease.LeaseState;
import org.marjoramgw.policy.lease.LeaseTimes;
import org.marjoramgw.policy.lease.StandbyChoice;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.usage.ReportBook;
import org.marjoramgw.policy.usage.TrueClock;
import org.marjoramgw.policy.usage.UsageCounter;
import org.marjoramgw.policy.usage.UsageLedger;
import org.marjoramgw.policy.usage.UsageObserver;
import org.marjoramgw.policy.usage.UsageWindows;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Usage reports of this process: counts its requests, shares the counts, and takes part
 * in the lease on the duty to report them. Thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class UsageDuty {

	/** Bounds of the delay before the lease is looked at after the start. */
	private static final int START_SPREAD_MILLIS = 500;

	private static final long BASE_BACKOFF_MILLIS = 250;

	private static final long MAX_BACKOFF_MILLIS = 2_000;

	/** The same for counts, which are worthless after some seconds. */
	private static final long MAX_SHARE_BACKOFF_MILLIS = 750;

	private final Object lock = new Object();

	private final Random random = new Random();

	private final CountingTopic usageTopic;

	private final CountingTopic dutiesTopic;

	private final UsageCounter counter;

	private final UsageSharing sharing;

	private final LeaseState lease;

	private final LeaseDriver driver;

	private final ReportBook book;

	private final UsageReader reader;

	private final ReportSender sender;

	private final ReportKeeper keeper;

	private final AgeClock clock;

	private final Timers timers;

	/**
	 * Creates the duty of a process that has just started.
	 * @param member this process
	 * @param windows the windows of the reports
	 * @param times times of the lease
	 * @param platform topics and receiver of the reports
	 * @param monotonicClock monotonic clock
	 * @param wallClock clock of the time of day
	 * @param timers timers
	 * @param lagMillis scheduling lag of this process, in milliseconds
	 */
	public UsageDuty(DutyMember member, UsageWindows windows, LeaseTimes times, UsagePlatform platform,
			MillisClock monotonicClock, MillisClock wallClock, Timers timers, LongSupplier lagMillis) {
		this.clock = new AgeClock(monotonicClock, wallClock);
		this.timers = timers;
		this.usageTopic = new CountingTopic(platform.usage());
		this.dutiesTopic = new CountingTopic(platform.duties());
		TrueClock trueClock = new TrueClock(monotonicClock, wallClock);
		this.counter = new UsageCounter(windows, trueClock::nowMillis);
		this.sharing = new UsageSharing(member, this.counter, windows, trueClock, this.usageTopic, timers,
				backoff(MAX_SHARE_BACKOFF_MILLIS), this.random.nextDouble());
		this.lease = new LeaseState(member.process(), member.incarnation(), times, this.random);
		this.book = new ReportBook(windows);
		UsageLedger ledger = new UsageLedger();
		StandbyChoice standbys = new StandbyChoice(member.process(), member.failureDomain(), this.random);
		this.reader = new UsageReader(this.usageTopic, monotonicClock, ledger, standbys, this.lock);
		this.sender = new ReportSender(member.process(), platform.reports(), this.book, this.lease, this.clock,
				monotonicClock, backoff(MAX_BACKOFF_MILLIS), this.lock);
		this.keeper = new ReportKeeper(this.usageTopic, ledger, this.reader, this.book, this.sender, standbys, windows,
				trueClock, timers, this.lock);
		this.driver = new LeaseDriver(this.dutiesTopic, this.lease, this.clock, timers, lagMillis,
				backoff(MAX_BACKOFF_MILLIS), this.keeper, this.lock);
		this.keeper.onPending(this.driver::wake);
	}

	/**
	 * Registers the metrics.
	 * @param registry the registry
	 */
	public void register(MetricRegistry registry) {
		gauge(registry, "usage.lease.held", () -> this.lease.isHeld(this.clock.now()) ? 1L : 0L);
		gauge(registry, "usage.lease.token", this.lease::token);
		gauge(registry, "usage.reports.open", () -> (long) this.book.openCount());
		gauge(registry, "usage.reports.accepted", this.sender::acceptedCount);
		gauge(registry, "usage.reports.failed", this.sender::failedCount);
		gauge(registry, "usage.store.calls", () -> this.usageTopic.callCount() + this.dutiesTopic.callCount());
	}

	/**
	 * Starts to share counts and to take part in the lease.
	 */
	public void start() {
		this.sharing.start();
		this.timers.schedule(1 + this.random.nextInt(START_SPREAD_MILLIS), this.driver::start);
	}

	/**
	 * Returns the observer that counts requests.
	 * @return the observer
	 */
	public UsageObserver observer() {
		return this.counter;
	}

	/**
	 * Gives the duty up because the process stops. Requests are still counted.
	 * @return completes when the lease is released
	 */
	public CompletionStage<Void> release() {
		return this.driver.close();
	}

	/**
	 * Shares the last counts, and waits until that is done and the lease is released.
	 * @param maxMillis maximum time to wait, in milliseconds
	 */
	public void close(long maxMillis) {
		CompletableFuture<Void> shared = this.sharing.close().toCompletableFuture();
		try {
			CompletableFuture.allOf(shared, release().toCompletableFuture())
				.get(Math.max(1, maxMillis), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			Logger.warn("usage: stopped before the last counts were shared or the lease was released");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void gauge(MetricRegistry registry, String name, LongSupplier value) {
		registry.register(name, (Gauge<Long>) () -> {
			synchronized (this.lock) {
				return value.getAsLong();
			}
		});
	}

	private Backoff backoff(long maxMillis) {
		return new Backoff(BASE_BACKOFF_MILLIS, maxMillis, this.random);
	}

}
