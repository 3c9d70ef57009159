package org.marjoramgw.time;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests {@link PekkoTimers}.
 *
 * @author The marjoramgw authors
 */
public class PekkoTimersTests {

	private static final int WAIT_SECONDS = 10;

	private ActorSystem<Void> system;

	private Timers timers;

	@BeforeClass
	public void start() {
		this.system = ActorSystem.create(Behaviors.empty(), "timers");
		this.timers = new PekkoTimers(this.system);
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.system.terminate();
	}

	@Test
	public void taskRunsOnceItIsDue() throws Exception {
		CountDownLatch ran = new CountDownLatch(1);
		this.timers.schedule(1, ran::countDown);
		Assert.assertTrue(ran.await(WAIT_SECONDS, TimeUnit.SECONDS));
	}

	/** Guards against timeouts from outside that the scheduler of Pekko rejects. */
	@Test
	public void delayBeyondTheSchedulersRangeIsAccepted() {
		this.timers.schedule(Long.MAX_VALUE, Assert::fail).cancel();
	}

}
