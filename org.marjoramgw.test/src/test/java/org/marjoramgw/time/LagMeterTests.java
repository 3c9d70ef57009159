package org.marjoramgw.time;

import java.util.ArrayDeque;
import java.util.Deque;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link LagMeter}.
 *
 * @author The marjoramgw authors
 */
public class LagMeterTests {

	@Test
	public void lagGrowsWhileTheTimerIsOverdueAndResetsWhenItFiresOnTime() {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Deque<Runnable> tasks = new ArrayDeque<>();
		LagMeter meter = new LagMeter(clock, (delayMillis, task) -> {
			tasks.add(task);
			return () -> tasks.remove(task);
		});
		meter.start();
		clock.advanceMillis(100);
		Assert.assertEquals(meter.lagMillis(), 0);
		clock.advanceMillis(350);
		Assert.assertEquals(meter.lagMillis(), 350, "measured before the timer fires");
		tasks.remove().run();
		Assert.assertEquals(meter.lagMillis(), 350);
		clock.advanceMillis(100);
		tasks.remove().run();
		Assert.assertEquals(meter.lagMillis(), 0);
	}

}
