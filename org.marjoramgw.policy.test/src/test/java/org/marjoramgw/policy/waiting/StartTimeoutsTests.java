package org.marjoramgw.policy.waiting;

import java.util.ArrayDeque;
import java.util.Deque;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.time.Timers;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link StartTimeouts}.
 *
 * @author The marjoramgw authors
 */
public class StartTimeoutsTests {

	private static final long TIMEOUT_MILLIS = 100;

	private static final long MAX_TIMEOUT_MILLIS = 500;

	private static final long DELAY_MILLIS = 40;

	private ManualMillisClock clock;

	private Deque<Runnable> scheduled;

	private StartTimeouts timeouts;

	private long intervalMillis;

	private int timedOutCount;

	@BeforeMethod
	public void setUp() {
		this.clock = new ManualMillisClock(0);
		this.scheduled = new ArrayDeque<>();
		this.timedOutCount = 0;
		Timers timers = (delayMillis, task) -> {
			this.intervalMillis = delayMillis;
			this.scheduled.add(task);
			return () -> this.scheduled.remove(task);
		};
		this.timeouts = new StartTimeouts(this.clock, timers);
	}

	@Test
	public void startTimesOutInAProcessThatIsOnTime() {
		begin();
		runUntilTimeout(0);
		Assert.assertEquals(this.clock.nowMillis(), TIMEOUT_MILLIS);
		Assert.assertEquals(this.timedOutCount, 1);
	}

	@Test
	public void timeInWhichTheProcessIsLateIsNotCounted() {
		begin();
		for (int check = 0; check < 5; check++) {
			runCheck(DELAY_MILLIS);
		}
		Assert.assertEquals(this.timedOutCount, 0);
		long lateMillis = this.clock.nowMillis();
		runUntilTimeout(0);
		Assert.assertEquals(this.clock.nowMillis() - lateMillis, TIMEOUT_MILLIS);
	}

	@Test
	public void startTimesOutEvenIfTheProcessIsAlwaysLate() {
		begin();
		runUntilTimeout(DELAY_MILLIS);
		Assert.assertTrue(this.clock.nowMillis() >= MAX_TIMEOUT_MILLIS);
		Assert.assertTrue(this.clock.nowMillis() <= MAX_TIMEOUT_MILLIS + this.intervalMillis + DELAY_MILLIS);
	}

	@Test
	public void cancelledTimeoutEndsNothing() {
		Timers.Handle timeout = begin();
		runCheck(0);
		Runnable running = this.scheduled.peek();
		timeout.cancel();
		Assert.assertTrue(this.scheduled.isEmpty(), "no more checks");
		this.clock.advanceMillis(TIMEOUT_MILLIS);
		running.run();
		Assert.assertEquals(this.timedOutCount, 0, "also if a check runs already");
	}

	private Timers.Handle begin() {
		return this.timeouts.begin(() -> this.timedOutCount++);
	}

	private void runUntilTimeout(long delayMillis) {
		while (!this.scheduled.isEmpty()) {
			runCheck(delayMillis);
		}
	}

	private void runCheck(long delayMillis) {
		this.clock.advanceMillis(this.intervalMillis + delayMillis);
		this.scheduled.remove().run();
	}

}
