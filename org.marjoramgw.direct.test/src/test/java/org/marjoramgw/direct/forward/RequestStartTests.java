package org.marjoramgw.direct.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.policy.gate.StartGate;
import org.marjoramgw.time.LagMeter;
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

	private ManualMillisClock clock;

	private LagMeter lag;

	private StartGate gate;

	private Timers timers;

	@BeforeMethod
	public void set() {
		this.events = new ArrayList<>();
		this.later = new ArrayDeque<>();
		this.clock = new ManualMillisClock(1_000);
		this.timers = (delayMillis, task) -> {
			this.later.add(task);
			return () -> this.later.remove(task);
		};
		this.lag = new LagMeter(this.clock, (delayMillis, task) -> () -> {
		});
		this.gate = new StartGate(1, Runnable::run);
	}

	@Test
	public void startsAtOnceInAProcessThatIsInTime() {
		start("a").run(0, () -> this.events.add("a"));
		Assert.assertEquals(this.events, List.of("a"));
	}

	@Test
	public void looksAtWhatHasArrivedFirstWhileTheProcessLags() {
		this.clock.advanceMillis(100 + 200);
		RequestStart gone = start("gone");
		RequestStart stays = start("stays");
		gone.run(0, () -> this.events.add("gone"));
		stays.run(0, () -> this.events.add("stays"));
		Assert.assertEquals(this.events, List.of());
		gone.over();
		this.later.remove().run();
		this.later.remove().run();
		Assert.assertEquals(this.events, List.of("over gone", "stays"));
	}

	@Test
	public void processThatLagsTooMuchIsLeft() {
		this.clock.advanceMillis(100 + 299);
		Assert.assertFalse(start("a").isTooLate());
		this.clock.advanceMillis(1);
		Assert.assertTrue(start("a").isTooLate());
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
		return new RequestStart(this.gate, this.lag, this.timers, () -> this.events.add("over " + name));
	}

}
