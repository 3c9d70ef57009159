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
 * Tests {@link RequestStart}.
 *
 * @author The marjoramgw authors
 */
public class RequestStartTests {

	private List<String> events;

	private Deque<Runnable> later;

	private StartLimiter gate;

	private Timers timers;

	@BeforeMethod
	public void set() {
		this.events = new ArrayList<>();
		this.later = new ArrayDeque<>();
		this.timers = (delayMillis, task) -> {
			this.later.add(task);
			return () -> this.later.remove(task);
		};
		this.gate = new StartLimiter(1, Runnable::run);
	}

	@Test
	public void startsAtOnceWhenThereIsRoom() {
		start("a").run(0, () -> this.events.add("a"));
		Assert.assertEquals(this.events, List.of("a"));
	}

	@Test
	public void requestThatEndsWhileItWaitsIsNeverBegun() {
		start("first").run(0, () -> this.events.add("first"));
		RequestStart gone = start("gone");
		gone.run(0, () -> this.events.add("gone"));
		gone.over();
		this.later.remove().run();
		Assert.assertEquals(this.events, List.of("first", "over gone", "over first"));
	}

	@Test
	public void serverThatDoesNotAnswerKeepsNoOtherFromStarting() {
		start("first").run(0, () -> this.events.add("first"));
		start("second").run(0, () -> this.events.add("second"));
		Assert.assertEquals(this.events, List.of("first"));
		this.later.remove().run();
		Assert.assertEquals(this.events, List.of("first", "second", "over first"));
	}

	private RequestStart start(String name) {
		return new RequestStart(this.gate, this.timers, () -> this.events.add("over " + name));
	}

}
