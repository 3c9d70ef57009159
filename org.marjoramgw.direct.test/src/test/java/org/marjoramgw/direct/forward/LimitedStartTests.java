package org.marjoramgw.direct.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.marjoramgw.policy.limiter.StartLimiter;
import org.marjoramgw.time.Timers;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link LimitedStart}.
 *
 * @author The marjoramgw authors
 */
public class LimitedStartTests {

	private List<String> events;

	private Deque<Runnable> scheduled;

	private StartLimiter limiter;

	private Timers timers;

	@BeforeMethod
	public void setUp() {
		this.events = new ArrayList<>();
		this.scheduled = new ArrayDeque<>();
		this.timers = (delayMillis, task) -> {
			this.scheduled.add(task);
			return () -> this.scheduled.remove(task);
		};
		this.limiter = new StartLimiter(1, Runnable::run);
	}

	@Test
	public void startsImmediatelyWhenPermitIsAvailable() {
		createStart("a").run(0, () -> this.events.add("a"));
		Assert.assertEquals(this.events, List.of("a"));
	}

	@Test
	public void requestFinishedWhileWaitingIsNotBegun() {
		createStart("first").run(0, () -> this.events.add("first"));
		LimitedStart finished = createStart("cancelled");
		finished.run(0, () -> this.events.add("cancelled"));
		finished.finish();
		this.scheduled.remove().run();
		Assert.assertEquals(this.events, List.of("first", "finished cancelled", "finished first"));
	}

	@Test
	public void unresponsiveServerDoesNotBlockOtherStarts() {
		createStart("first").run(0, () -> this.events.add("first"));
		createStart("second").run(0, () -> this.events.add("second"));
		Assert.assertEquals(this.events, List.of("first"));
		this.scheduled.remove().run();
		Assert.assertEquals(this.events, List.of("first", "second", "finished first"));
	}

	private LimitedStart createStart(String name) {
		return new LimitedStart(this.limiter, this.timers, () -> this.events.add("finished " + name));
	}

}
