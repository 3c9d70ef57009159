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
 * Tests {@link GatedStart}.
 *
 * @author The marjoramgw authors
 */
public class GatedStartTests {

	private List<String> events;

	private Deque<Runnable> scheduled;

	private StartLimiter gate;

	private Timers timers;

	@BeforeMethod
	public void set() {
		this.events = new ArrayList<>();
		this.scheduled = new ArrayDeque<>();
		this.timers = (delayMillis, task) -> {
			this.scheduled.add(task);
			return () -> this.scheduled.remove(task);
		};
		this.gate = new StartLimiter(1, Runnable::run);
	}

	@Test
	public void startsImmediatelyWhenGateHasRoom() {
		createStart("a").run(0, () -> this.events.add("a"));
		Assert.assertEquals(this.events, List.of("a"));
	}

	@Test
	public void requestFinishedWhileWaitingIsNotBegun() {
		createStart("first").run(0, () -> this.events.add("first"));
		GatedStart gone = createStart("gone");
		gone.run(0, () -> this.events.add("gone"));
		gone.finish();
		this.scheduled.remove().run();
		Assert.assertEquals(this.events, List.of("first", "over gone", "over first"));
	}

	@Test
	public void unresponsiveServerDoesNotBlockOtherStarts() {
		createStart("first").run(0, () -> this.events.add("first"));
		createStart("second").run(0, () -> this.events.add("second"));
		Assert.assertEquals(this.events, List.of("first"));
		this.scheduled.remove().run();
		Assert.assertEquals(this.events, List.of("first", "second", "over first"));
	}

	private GatedStart createStart(String name) {
		return new GatedStart(this.gate, this.timers, () -> this.events.add("over " + name));
	}

}
