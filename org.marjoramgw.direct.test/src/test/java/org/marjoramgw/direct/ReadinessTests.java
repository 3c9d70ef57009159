package org.marjoramgw.direct;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.program.Lifecycle;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.LagMeter;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link Readiness}.
 *
 * @author The marjoramgw authors
 */
public class ReadinessTests {

	private static final String CONFIGURATION_KEY = "config";

	/** Interval of the lag meter, after which it is overdue, in milliseconds. */
	private static final long LAG_INTERVAL_MILLIS = 100;

	private ManualMillisClock lagClock;

	private ManualMillisClock ageClock;

	private AgeClock ages;

	private Lifecycle lifecycle;

	private ServerDirectory directory;

	private ActiveRouting routing;

	private boolean warmedUp;

	private long revocationMillis;

	private Readiness readiness;

	@BeforeMethod
	public void createReadiness() {
		this.lagClock = new ManualMillisClock(1_000);
		this.ageClock = new ManualMillisClock(1_000);
		this.ages = new AgeClock(this.ageClock, this.ageClock);
		this.lifecycle = new Lifecycle(this.ageClock, (code) -> {
		});
		this.directory = new ServerDirectory(Fixtures::server, this.ages);
		this.routing = new ActiveRouting(CONFIGURATION_KEY, ReadinessTests::decode, this.ages);
		LagMeter lag = new LagMeter(this.lagClock, (delayMillis, task) -> () -> {
		});
		this.warmedUp = true;
		this.revocationMillis = 5_000;
		this.readiness = new Readiness(this.lifecycle, () -> this.warmedUp, this.directory, lag, this.routing,
				() -> this.revocationMillis);
	}

	private void loadRegistrations() {
		this.directory.onSnapshot(List.of());
	}

	private void loadConfiguration() {
		this.routing.onSnapshot(List.of(Fixtures.record(CONFIGURATION_KEY, "3", 0)));
	}

	private void makeReady() {
		loadRegistrations();
		loadConfiguration();
		this.routing.onConfirmed(this.ages.now());
		Assert.assertTrue(this.readiness.isReady());
	}

	@Test
	public void notReadyUntilRegistrationsAreLoaded() {
		loadConfiguration();
		this.routing.onConfirmed(this.ages.now());
		Assert.assertFalse(this.readiness.isReady());
		loadRegistrations();
		Assert.assertTrue(this.readiness.isReady());
	}

	@Test
	public void notReadyUntilConfigurationIsConfirmed() {
		loadRegistrations();
		Assert.assertFalse(this.readiness.isReady());
		loadConfiguration();
		Assert.assertFalse(this.readiness.isReady());
		this.routing.onConfirmed(this.ages.now());
		Assert.assertTrue(this.readiness.isReady());
	}

	@Test
	public void notReadyUntilWarmedUp() {
		makeReady();
		this.warmedUp = false;
		Assert.assertFalse(this.readiness.isReady());
	}

	@Test
	public void notReadyOnceStopIsRequested() {
		makeReady();
		this.lifecycle.requestStop("test", ExitCode.OK);
		Assert.assertFalse(this.readiness.isReady());
	}

	@Test
	public void notReadyFromHalfASecondOfLagOn() {
		makeReady();
		this.lagClock.advanceMillis(LAG_INTERVAL_MILLIS + 499);
		Assert.assertTrue(this.readiness.isReady());
		this.lagClock.advanceMillis(1);
		Assert.assertFalse(this.readiness.isReady());
	}

	@Test
	public void notReadyOneSecondBeforeKeysStopBeingAccepted() {
		makeReady();
		Assert.assertEquals(this.readiness.maxAgeMillis(), 4_700);
		this.ageClock.advanceMillis(3_699);
		Assert.assertTrue(this.readiness.isReady());
		this.ageClock.advanceMillis(1);
		Assert.assertFalse(this.readiness.isReady());
	}

	@Test
	public void revocationTimeThatIsReadAgainTakesEffect() {
		makeReady();
		this.ageClock.advanceMillis(1_000);
		this.revocationMillis = 2_300;
		Assert.assertEquals(this.readiness.maxAgeMillis(), 2_000);
		Assert.assertFalse(this.readiness.isReady());
		this.revocationMillis = 2_301;
		Assert.assertTrue(this.readiness.isReady());
	}

	private static Optional<Routing> decode(byte[] value) {
		return Optional.of(Fixtures.routing(Long.parseLong(new String(value, StandardCharsets.UTF_8))));
	}

}
