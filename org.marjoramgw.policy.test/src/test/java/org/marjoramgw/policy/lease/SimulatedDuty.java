package org.marjoramgw.policy.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.marjoramgw.policy.usage.UsageWindows;

/**
 * Simulated processes that compete for the lease on a duty, with a store and a receiver
 * of reports.
 *
 * @author The marjoramgw authors
 */
final class SimulatedDuty {

	/** Length of a window, and time until its report is due, in milliseconds. */
	static final UsageWindows WINDOWS = new UsageWindows(5_000, 10_000);

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Random random;

	private final boolean bootTime;

	private final LeaseTimes times;

	private final SimulatedStore store = new SimulatedStore();

	private final SimulatedReceiver receiver;

	private final List<SimulatedHolder> holders = new ArrayList<>();

	private long nowMillis;

	private long eventCount;

	private int stoppedCount;

	private double lossShare;

	SimulatedDuty(Random random, int processes, long leaseMillis, boolean fenced, boolean bootTime) {
		this.random = random;
		this.bootTime = bootTime;
		this.times = LeaseTimes.of(leaseMillis, fenced);
		this.receiver = new SimulatedReceiver(leaseMillis);
		for (int number = 0; number < processes; number++) {
			this.holders.add(new SimulatedHolder(this, "p" + number, 0, this.times, WINDOWS));
		}
	}

	Random random() {
		return this.random;
	}

	/**
	 * Tells whether the steady clock advances while a process is frozen.
	 * @return whether it measures the time since the boot
	 */
	boolean knowsBootTime() {
		return this.bootTime;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	double lossShare() {
		return this.lossShare;
	}

	SimulatedStore store() {
		return this.store;
	}

	SimulatedReceiver receiver() {
		return this.receiver;
	}

	SimulatedHolder holder(int number) {
		return this.holders.get(number);
	}

	int size() {
		return this.holders.size();
	}

	long holdingCount() {
		return this.holders.stream().filter(SimulatedHolder::isHolding).count();
	}

	int stoppedCount() {
		return this.stoppedCount;
	}

	void onStopped() {
		this.stoppedCount++;
	}

	/**
	 * Returns the standbys that a process names: the one after it.
	 * @param process the process
	 * @return its standbys
	 */
	List<String> standbys(String process) {
		int number = Integer.parseInt(process.substring(1));
		return List.of("p" + (number + 1) % this.holders.size());
	}

	void setLossShare(double share) {
		this.lossShare = share;
	}

	/**
	 * Kills a process and starts it again under its name.
	 * @param number number of the process
	 * @param afterMillis time until it starts again
	 */
	void restart(int number, long afterMillis) {
		String process = this.holders.get(number).process();
		this.holders.get(number).kill();
		schedule(afterMillis, () -> {
			this.holders.get(number).kill();
			this.holders.set(number, new SimulatedHolder(this, process, this.nowMillis, this.times, WINDOWS));
		});
	}

	void schedule(long delayMillis, Runnable task) {
		this.events.add(new Event(this.nowMillis + delayMillis, this.eventCount++, task));
	}

	/**
	 * Lets time pass.
	 * @param millis how long
	 */
	void run(long millis) {
		long endMillis = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().timeMillis <= endMillis) {
			Event event = this.events.poll();
			this.nowMillis = event.timeMillis;
			event.task.run();
		}
		this.nowMillis = endMillis;
	}

	/** Task at a time. */
	private record Event(long timeMillis, long number, Runnable task) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.timeMillis, other.timeMillis);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

}
