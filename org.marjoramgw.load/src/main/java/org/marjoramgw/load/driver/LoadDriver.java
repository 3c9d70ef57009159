package org.marjoramgw.load.driver;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.ConcurrentHistogram;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.load.arrival.Arrival;
import org.marjoramgw.rig.RequestCaller;

/**
 * Open-loop driver: it sends each arrival when it is due, whatever became of earlier
 * ones, in turn to the entries.
 *
 * @author The marjoramgw authors
 */
public final class LoadDriver implements AutoCloseable {

	private static final int TIMER_THREADS = 2;

	private final MillisClock clock;

	private final RequestSender sender;

	private final List<HostPort> targets;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);

	private final Queue<RequestRecord> records = new ConcurrentLinkedQueue<>();

	private final AtomicInteger nextTarget = new AtomicInteger();

	/**
	 * Creates a driver.
	 * @param clock the clock
	 * @param caller caller of the entries
	 * @param entries addresses of the entries, or of engines
	 * @param direct whether these are engines, called without the router
	 */
	public LoadDriver(MillisClock clock, RequestCaller caller, List<HostPort> entries, boolean direct) {
		this.clock = clock;
		this.sender = new RequestSender(caller, clock, direct);
		this.targets = List.copyOf(entries);
	}

	/**
	 * Sends all arrivals and waits for their answers.
	 * @param arrivals the arrivals in the order of their times
	 * @param startMillis time of the start, by the clock
	 * @param settleMillis longest wait for answers after the last arrival, in
	 * milliseconds
	 * @return the requests that were answered in that time
	 * @throws InterruptedException if the thread is interrupted
	 */
	public List<RequestRecord> run(List<Arrival> arrivals, long startMillis, long settleMillis)
			throws InterruptedException {
		CountDownLatch open = new CountDownLatch(arrivals.size());
		long lastMillis = 0;
		for (Arrival arrival : arrivals) {
			long dueMillis = startMillis + arrival.offsetMillis();
			this.timer.schedule(() -> send(arrival, dueMillis, open), dueMillis - this.clock.nowMillis(),
					TimeUnit.MILLISECONDS);
			lastMillis = arrival.offsetMillis();
		}
		long untilLastMillis = startMillis + lastMillis - this.clock.nowMillis();
		open.await(untilLastMillis + settleMillis, TimeUnit.MILLISECONDS);
		return new ArrayList<>(this.records);
	}

	/**
	 * Returns the gaps between tokens.
	 * @return histograms of gaps in milliseconds, by class
	 */
	public Map<String, ConcurrentHistogram> gaps() {
		return this.sender.gaps();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	private void send(Arrival arrival, long dueMillis, CountDownLatch open) {
		HostPort entry = this.targets.get(this.nextTarget.getAndIncrement() % this.targets.size());
		this.sender.send(arrival, entry, dueMillis).thenAccept((result) -> {
			this.records.add(result);
			open.countDown();
		});
	}

}
