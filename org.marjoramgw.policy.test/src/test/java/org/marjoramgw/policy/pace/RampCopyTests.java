package org.marjoramgw.policy.pace;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

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
		this.ramp = new ServerRamp(this.clock, new Events());
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
		ServerRamp copy = this.ramp.copy();
		copy.onTimely(NEW_SERVER, 6);
		Assert.assertEquals(copy.rampingCount(), 0);
		Assert.assertEquals(this.ramp.rampingCount(), 1);
		Assert.assertEquals(this.ramp.share(NEW_SERVER), 0.25);
		Assert.assertEquals(this.events, List.of("started new"));
	}

	/** Guards against a copy that decides otherwise. */
	@Test
	public void copyDecidesAlike() {
		this.ramp.onUsable("s", NEW_SERVER, "new");
		this.ramp.onLate(NEW_SERVER, 1);
		ServerRamp copy = this.ramp.copy();
		Assert.assertEquals(copy.share(NEW_SERVER), this.ramp.share(NEW_SERVER));
		Assert.assertEquals(copy.share(OLD_SERVER), this.ramp.share(OLD_SERVER));
		copy.onTimely(NEW_SERVER, 1);
		this.ramp.onTimely(NEW_SERVER, 1);
		Assert.assertEquals(copy.share(NEW_SERVER), this.ramp.share(NEW_SERVER));
		this.ramp.onFailed(OLD_SERVER);
		ServerRamp failed = this.ramp.copy();
		failed.onFailed(OLD_SERVER);
		Assert.assertEquals(failed.share(OLD_SERVER), 0.5);
	}

	private final class Events implements RampListener {

		@Override
		public void onRampStarted(int serverKey, String name, String reason, DoubleSupplier share) {
			RampCopyTests.this.events.add("started " + name);
		}

		@Override
		public void onRampEnded(int serverKey, String name, String reason, long tookMillis) {
			RampCopyTests.this.events.add("ended " + name);
		}

	}

}
