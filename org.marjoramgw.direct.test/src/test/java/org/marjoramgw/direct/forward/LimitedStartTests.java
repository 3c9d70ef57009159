package org.marjoramgw.direct.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.policy.waiting.StartTimeouts;
import org.marjoramgw.policy.waiting.Urgency;
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

	private static final Urgency URGENCY = Urgency.read(0, 0);

	/** Time between two checks of a start's timeout. */
	private static final long CHECK_MILLIS = 25;

	/** Checks after which two starts have timed out in a process that is on time. */
	private static final int CHECK_COUNT = 8;

	private static final long DELAY_MILLIS = 30;

	private List<String> events;

	private Deque<Runnable> scheduled;

	private StartLimiter limiter;

	private boolean opening;

	private ManualMillisClock clock;

	private StartTimeouts timeouts;

	@BeforeMethod
	public void setUp() {
		this.events = new ArrayList<>();
		this.opening = false;
		this.scheduled = new ArrayDeque<>();
		this.clock = new ManualMillisClock(0);
		Timers timers = (delayMillis, task) -> {
			this.scheduled.add(task);
			return () -> this.scheduled.remove(task);
		};
		this.timeouts = new StartTimeouts(this.clock, timers);
		this.limiter = new StartLimiter(1, Runnable::run);
	}

	@Test
	public void startsImmediatelyWhenPermitIsAvailable() {
		createStart("a").run(URGENCY, () -> this.events.add("a"));
		Assert.assertEquals(this.events, List.of("a"));
	}

	@Test
	public void requestFinishedWhileWaitingIsNotBegun() {
		createStart("first").run(URGENCY, () -> this.events.add("first"));
		LimitedStart finished = createStart("cancelled");
		finished.run(URGENCY, () -> this.events.add("cancelled"));
		finished.finish();
		letTimePass(0);
		Assert.assertEquals(this.events, List.of("first", "started cancelled"));
		Assert.assertEquals(this.limiter.waitingCount(), 0);
	}

	@Test
	public void unresponsiveServerDoesNotBlockOtherStarts() {
		createStart("first").run(URGENCY, () -> this.events.add("first"));
		createStart("second").run(URGENCY, () -> this.events.add("second"));
		Assert.assertEquals(this.events, List.of("first"));
		letTimePass(0);
		Assert.assertEquals(this.events, List.of("first", "second"));
	}

	@Test
	public void requestKeepsItsPlaceWhileTheProcessIsLate() {
		createStart("first").run(URGENCY, () -> this.events.add("first"));
		createStart("second").run(URGENCY, () -> this.events.add("second"));
		letTimePass(DELAY_MILLIS);
		Assert.assertEquals(this.events, List.of("first"));
	}

	@Test
	public void requestThatWaitedForItsServerStartsAgainInItsTurn() {
		LimitedStart first = createStart("first");
		first.run(URGENCY, () -> this.events.add("first"));
		createStart("second").run(URGENCY, () -> this.events.add("second"));
		first.release();
		first.run(URGENCY, () -> this.events.add("first again"));
		Assert.assertEquals(this.events, List.of("first", "second", "started first"));
		letTimePass(0);
		Assert.assertEquals(this.events.get(3), "first again");
	}

	@Test
	public void requestThatBeginsAgainAtOnceKeepsNoPermit() {
		LimitedStart start = createStart("first");
		start.run(URGENCY, () -> {
			start.release();
			start.run(URGENCY, () -> this.events.add("again"));
		});
		start.finish();
		createStart("next").run(URGENCY, () -> this.events.add("next"));
		Assert.assertTrue(this.events.containsAll(List.of("again", "next")), this.events.toString());
	}

	@Test
	public void placeOfTheConnectionIsThatOfItsRequest() {
		this.opening = true;
		createStart("first").run(URGENCY, () -> this.events.add("first"));
		createStart("second").run(URGENCY, () -> this.events.add("second"));
		Assert.assertEquals(this.events, List.of("first", "second"));
	}

	private void letTimePass(long delayMillis) {
		for (int check = 0; check < CHECK_COUNT && !this.scheduled.isEmpty(); check++) {
			this.clock.advanceMillis(CHECK_MILLIS + delayMillis);
			this.scheduled.remove().run();
		}
	}

	private LimitedStart createStart(String name) {
		return new LimitedStart(this.limiter, this.timeouts, new Owner(name));
	}

	private final class Owner implements RequestOwner {

		private final String name;

		private Owner(String name) {
			this.name = name;
		}

		@Override
		public boolean mayBegin(long timeoutMillis) {
			return true;
		}

		@Override
		public boolean isCallerDisconnected() {
			return false;
		}

		@Override
		public boolean isStarting() {
			return LimitedStartTests.this.opening;
		}

		@Override
		public void onStarted() {
			LimitedStartTests.this.events.add("started " + this.name);
		}

		@Override
		public void onEnd() {
			throw new UnsupportedOperationException("a start doesn't end its request");
		}

	}

}
