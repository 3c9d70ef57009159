package org.marjoramgw.policy.usage;

import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link TrueClock} and {@link UsageWindows}.
 *
 * @author The marjoramgw authors
 */
public class TrueClockTests {

	private static final long START_MILLIS = 1_767_225_600_000L;

	private final AtomicLong steady = new AtomicLong();

	private final AtomicLong wall = new AtomicLong();

	@DataProvider
	public Object[][] jumps() {
		return new Object[][] { { 5_000L }, { -5_000L }, { 301L }, { -3_600_000L } };
	}

	@DataProvider
	public Object[][] jumpsBackward() {
		return new Object[][] { { -5_000L }, { -301L }, { -3_600_000L } };
	}

	@Test(dataProvider = "jumpsBackward")
	public void jumpBackwardThatIsSoonUndoneIsIgnored(long jumpMillis) {
		TrueClock clock = clock();
		pass(1_000);
		this.wall.addAndGet(jumpMillis);
		for (int step = 1; step <= 59; step++) {
			pass(1_000);
			Assert.assertEquals(clock.nowMillis(), START_MILLIS + 1_000 + step * 1_000L);
		}
		this.wall.addAndGet(-jumpMillis);
		pass(1_000);
		Assert.assertEquals(clock.nowMillis(), START_MILLIS + 61_000);
	}

	@Test(dataProvider = "jumps")
	public void jumpThatLastsIsAccepted(long jumpMillis) {
		TrueClock clock = clock();
		this.wall.addAndGet(jumpMillis);
		Assert.assertEquals(clock.nowMillis(), START_MILLIS);
		pass(60_000);
		Assert.assertEquals(clock.nowMillis(), START_MILLIS + 60_000 + jumpMillis);
	}

	@Test
	public void slowDriftIsFollowed() {
		TrueClock clock = clock();
		for (int step = 0; step < 10; step++) {
			pass(10_000);
			this.wall.addAndGet(100);
			Assert.assertEquals(clock.nowMillis(), this.wall.get());
		}
	}

	@Test
	public void timeOfASuspensionIsSoonMadeUp() {
		TrueClock clock = clock();
		pass(10_000);
		Assert.assertEquals(clock.nowMillis(), this.wall.get());
		this.wall.addAndGet(7_000);
		Assert.assertEquals(clock.nowMillis(), this.wall.get() - 7_000);
		pass(1_000);
		Assert.assertEquals(clock.nowMillis(), this.wall.get());
	}

	@Test
	public void jumpForwardIsUndoneAtOnce() {
		TrueClock clock = clock();
		this.wall.addAndGet(5_000);
		clock.nowMillis();
		pass(1_000);
		Assert.assertEquals(clock.nowMillis(), START_MILLIS + 6_000);
		this.wall.addAndGet(-5_000);
		Assert.assertEquals(clock.nowMillis(), START_MILLIS + 1_000);
	}

	@Test
	public void windowsAreNumberedFromTheStartOf1970() {
		UsageWindows windows = new UsageWindows(5_000, 10_000);
		Assert.assertEquals(windows.at(START_MILLIS), 353_445_120L);
		Assert.assertEquals(windows.at(START_MILLIS - 1), 353_445_119L);
		Assert.assertEquals(windows.endMillis(353_445_119L), START_MILLIS);
	}

	@Test
	public void contentIsFixedBetweenTheLastSharedCountsAndTheTimeWhenItIsDue() {
		UsageWindows windows = new UsageWindows(5_000, 10_000);
		long end = windows.endMillis(100);
		Assert.assertEquals(windows.lastComplete(end + 5_499), 99);
		Assert.assertEquals(windows.lastComplete(end + 5_500), 100);
		Assert.assertEquals(windows.shareMillis(1), 2_500);
	}

	private TrueClock clock() {
		this.steady.set(0);
		this.wall.set(START_MILLIS);
		return new TrueClock(this.steady::get, this.wall::get);
	}

	private void pass(long millis) {
		this.steady.addAndGet(millis);
		this.wall.addAndGet(millis);
	}

}
