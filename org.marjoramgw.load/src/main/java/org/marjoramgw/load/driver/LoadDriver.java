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
import org.marjoramgw.rig.RequestClient;

/**
 * Open-loop load driver. Sends each arrival when it is due, independent of the completion
 * of earlier requests, to the targets in round-robin order.
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
	 * @param caller client that sends the requests
	 * @param targets addresses of the entries, or of engines to call directly
	 * @param direct whether the targets are engines, called without the router
	 */
	public LoadDriver(MillisClock clock, RequestClient caller, List<HostPort> targets, boolean direct) {
		this.clock = clock;
		this.sender = new RequestSender(caller, clock, direct);
		this.targets = List.copyOf(targets);
	}

	/**
	 * Sends all arrivals and waits for the responses.
	 * @param arrivals the arrivals, sorted by arrival time
	 * @param startMillis start of the first phase, as a time of the clock
	 * @param settleMillis maximum wait for responses after the last arrival, in
	 * milliseconds
	 * @return the requests that completed within that time
	 * @throws InterruptedException if the thread is interrupted
	 */
	public List<RequestRecord> run(List<Arrival> arrivals, long startMillis, long settleMillis)
			throws InterruptedException {
		CountDownLatch pending = new CountDownLatch(arrivals.size());
		long lastOffsetMillis = 0;
		for (Arrival arrival : arrivals) {
			long dueMillis = startMillis + arrival.offsetMillis();
			this.timer.schedule(() -> send(arrival, dueMillis, pending), dueMillis - this.clock.nowMillis(),
					TimeUnit.MILLISECONDS);
			lastOffsetMillis = arrival.offsetMillis();
		}
		long untilLastMillis = startMillis + lastOffsetMillis - this.clock.nowMillis();
		pending.await(untilLastMillis + settleMillis, TimeUnit.MILLISECONDS);
		return new ArrayList<>(this.records);
	}

	/**
	 * Returns the gaps between successive tokens.
	 * @return histograms of the gaps in milliseconds, by request class
	 */
	public Map<String, ConcurrentHistogram> gaps() {
		return this.sender.gaps();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	private void send(Arrival arrival, long dueMillis, CountDownLatch pending) {
		HostPort target = this.targets.get(this.nextTarget.getAndIncrement() % this.targets.size());
		this.sender.send(arrival, target, dueMillis).thenAccept((outcome) -> {
			this.records.add(outcome);
			pending.countDown();
		});
	}

}
