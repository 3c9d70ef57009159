package org.marjoramgw.direct.forward;

import java.util.concurrent.atomic.AtomicInteger;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link PauseMeter}.
 *
 * @author The marjoramgw authors
 */
public class PauseMeterTests {

	private static final long MAX_PAUSE_MILLIS = 100;

	private ManualMillisClock clock;

	private AtomicInteger lateCount;

	private PauseMeter meter;

	@BeforeMethod
	public void createMeter() {
		this.clock = new ManualMillisClock(0);
		this.lateCount = new AtomicInteger();
		this.meter = new PauseMeter(this.clock::nowMillis, MAX_PAUSE_MILLIS, this.lateCount::incrementAndGet,
				(pauseMillis) -> {
				});
	}

	@Test
	public void longPauseIsReportedOnce() {
		pause(500);
		Assert.assertEquals(this.lateCount.get(), 0, "time to the first bytes is no pause");
		pause(100);
		Assert.assertEquals(this.lateCount.get(), 0);
		pause(101);
		pause(300);
		Assert.assertEquals(this.lateCount.get(), 1);
		Assert.assertEquals(this.meter.longestMillis(), 300);
	}

	@Test
	public void timeInWhichTheReaderDoesNotReadIsLeftOut() {
		pause(0);
		this.clock.advanceMillis(5_000);
		pause(20);
		Assert.assertEquals(this.meter.longestMillis(), 20);
	}

	private void pause(long millis) {
		this.meter.onDemand();
		this.clock.advanceMillis(millis);
		this.meter.onBytes();
	}

}
