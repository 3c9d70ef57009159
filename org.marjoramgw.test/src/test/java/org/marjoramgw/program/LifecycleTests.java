package org.marjoramgw.program;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link Lifecycle}.
 *
 * @author The marjoramgw authors
 */
public class LifecycleTests {

	private static final int WAIT_SECONDS = 10;

	private static final long SETTLE_MILLIS = 50;

	private BlockingQueue<String> events;

	private ManualMillisClock clock;

	private Lifecycle lifecycle;

	@BeforeMethod
	public void create() {
		this.events = new LinkedBlockingQueue<>();
		this.clock = new ManualMillisClock(1_000);
		this.lifecycle = new Lifecycle(this.clock, (code) -> this.events.add("exit " + code));
	}

	@Test
	public void stopDuringTheStartWaitsForItAndKeepsItsTime() throws Exception {
		this.lifecycle.requestStop("test", 143);
		Assert.assertTrue(this.lifecycle.isStopping());
		this.clock.advanceMillis(700);
		Assert.assertEquals(this.events.size(), 0);
		start();
		assertEvents("stop 1000", "exit 143");
	}

	@Test
	public void onlyTheFirstStopCounts() throws Exception {
		start();
		Assert.assertEquals(this.lifecycle.phase(), Lifecycle.Phase.SERVING);
		this.lifecycle.requestStop("test", 0);
		this.clock.advanceMillis(10);
		this.lifecycle.requestStop("test", 143);
		assertEvents("stop 1000", "exit 0");
	}

	@Test
	public void reloadDuringTheStartFollowsIt() throws Exception {
		this.lifecycle.requestReload("test");
		Assert.assertEquals(this.events.size(), 0);
		start();
		this.lifecycle.requestReload("test");
		assertEvents("reload", "reload");
	}

	@Test
	public void processExitsAfterAFailedStop() throws Exception {
		this.lifecycle.started((requestedMillis) -> {
			throw new IllegalStateException("test");
		});
		this.lifecycle.requestStop("test", 143);
		assertEvents("exit 143");
	}

	@Test
	public void failedReloadDoesNotHoldBackTheStop() throws Exception {
		this.lifecycle.requestReload("test");
		this.lifecycle.requestStop("test", 143);
		Assert.assertThrows(IllegalStateException.class, () -> this.lifecycle.started((requestedMillis) -> {
		}, () -> {
			throw new IllegalStateException("test");
		}));
		assertEvents("exit 143");
	}

	@Test
	public void processExitsAtOnceIfAskedBeforeItAccepts() throws Exception {
		this.lifecycle.exitIfStopping();
		Assert.assertEquals(this.events.size(), 0);
		this.lifecycle.requestStop("test", 143);
		this.lifecycle.exitIfStopping();
		assertEvents("exit 143");
	}

	private void start() {
		this.lifecycle.started((requestedMillis) -> this.events.add("stop " + requestedMillis),
				() -> this.events.add("reload"));
	}

	private void assertEvents(String... expected) throws InterruptedException {
		for (String event : List.of(expected)) {
			Assert.assertEquals(this.events.poll(WAIT_SECONDS, TimeUnit.SECONDS), event);
		}
		Assert.assertNull(this.events.poll(SETTLE_MILLIS, TimeUnit.MILLISECONDS));
	}

}
