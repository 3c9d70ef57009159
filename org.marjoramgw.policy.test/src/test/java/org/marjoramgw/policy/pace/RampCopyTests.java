package org.marjoramgw.policy.pace;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link ServerRamp#copy}.
 *
 * @author The marjoramgw authors
 */
public class RampCopyTests {

	private static final int OLD_SERVER = 1;

	private static final int NEW_SERVER = 2;

	private final List<String> events = new ArrayList<>();

	private ManualMillisClock clock;

	private ServerRamp ramp;

	@BeforeMethod
	public void create() {
		this.events.clear();
		this.clock = new ManualMillisClock(0);
		this.ramp = new ServerRamp("e0", this.clock, new Events());
		this.ramp.onMembers(3, Set.of("e0", "e1", "e2", "e3"));
		this.ramp.onUsable("s", OLD_SERVER, "old");
		this.clock.advanceMillis(10_000);
	}

	/** Guards against an explanation that starts, grows or ends a ramp. */
	@Test
	public void copyChangesNothing() {
		this.ramp.copy().onUsable("s", NEW_SERVER, "new");
		Assert.assertEquals(this.events, List.of());
		Assert.assertEquals(this.ramp.rampingCount(), 0);
		this.ramp.onUsable("s", NEW_SERVER, "new");
		this.clock.advanceMillis(1_500);
		ServerRamp copy = this.ramp.copy();
		Assert.assertTrue(copy.mayReceive(NEW_SERVER, 1), "the ramp of the copy ends as it is idle");
		Assert.assertEquals(copy.rampingCount(), 0);
		Assert.assertEquals(this.ramp.step(NEW_SERVER), 2);
		Assert.assertEquals(this.events, List.of("started new"));
	}

	/** Guards against a copy that decides otherwise. */
	@Test
	public void copyDecidesAlike() {
		this.ramp.onUsable("s", NEW_SERVER, "new");
		this.ramp.onLate(NEW_SERVER, 1);
		for (int unreadCount = 0; unreadCount < 3; unreadCount++) {
			ServerRamp copy = this.ramp.copy();
			Assert.assertEquals(copy.step(NEW_SERVER), 1);
			Assert.assertEquals(copy.mayReceive(OLD_SERVER, unreadCount),
					this.ramp.mayReceive(OLD_SERVER, unreadCount));
			Assert.assertEquals(copy.mayReceive(NEW_SERVER, unreadCount),
					this.ramp.mayReceive(NEW_SERVER, unreadCount));
		}
		ServerRamp copy = this.ramp.copy();
		copy.onTimely(NEW_SERVER, 1);
		this.ramp.onTimely(NEW_SERVER, 1);
		Assert.assertEquals(copy.step(NEW_SERVER), this.ramp.step(NEW_SERVER));
	}

	private final class Events implements RampListener {

		@Override
		public void onRampStarted(int serverKey, String name, String reason, IntSupplier step) {
			RampCopyTests.this.events.add("started " + name);
		}

		@Override
		public void onRampEnded(int serverKey, String name, String reason, long tookMillis) {
			RampCopyTests.this.events.add("ended " + name);
		}

	}

}
