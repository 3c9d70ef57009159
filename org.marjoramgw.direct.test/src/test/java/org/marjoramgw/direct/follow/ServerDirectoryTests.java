package org.marjoramgw.direct.follow;

import java.util.List;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.direct.Fixtures;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link ServerDirectory}.
 *
 * @author The marjoramgw authors
 */
public class ServerDirectoryTests {

	private final ManualMillisClock clock = new ManualMillisClock(100_000);

	private final AgeClock ages = new AgeClock(this.clock, this.clock);

	private final ServerDirectory directory = new ServerDirectory(Fixtures::server, this.ages);

	@Test
	public void drainingServerIsNotUsable() {
		ServerDirectory servers = new ServerDirectory(Fixtures::server, this.ages);
		servers.onSnapshot(List.of(Fixtures.record("a", "ready", 1), Fixtures.record("b", "draining", 2)));
		Assert.assertEquals(ids(servers), List.of("a"));
		servers.onRecords(List.of(Fixtures.record("a", "draining", 3)));
		Assert.assertEquals(ids(servers), List.of());
		Assert.assertFalse(servers.isUsable("a"));
	}

	@Test
	public void deletedRegistrationTakesEffectImmediatelyWhileStoreIsReachable() {
		ServerDirectory servers = new ServerDirectory(Fixtures::server, this.ages);
		servers.onSnapshot(List.of(Fixtures.record("a", "ready", 1)));
		servers.onConfirmed(this.ages.now());
		servers.onRecords(List.of(Fixtures.record("a", null, 2)));
		Assert.assertEquals(ids(servers), List.of());
	}

	@Test
	public void undecodableRegistrationIsNotUsable() {
		ServerDirectory servers = new ServerDirectory(Fixtures::server, this.ages);
		servers.onSnapshot(List.of(Fixtures.record("a", "ready", 1), Fixtures.record("b", "{", 2)));
		Assert.assertEquals(ids(servers), List.of("a"));
		servers.onRecords(List.of(Fixtures.record("a", "mystery", 3)));
		Assert.assertEquals(ids(servers), List.of());
	}

	@Test
	public void registrationThatFailsTheDecoderHidesNoOther() {
		ServerDirectory servers = new ServerDirectory((id, value) -> {
			if (id.equals("odd")) {
				throw new IllegalStateException("odd");
			}
			return Fixtures.server(id, value);
		}, this.ages);
		servers.onSnapshot(List.of(Fixtures.record("odd", "ready", 1), Fixtures.record("a", "ready", 2)));
		servers.onRecords(List.of(Fixtures.record("odd", "ready", 3), Fixtures.record("b", "ready", 4)));
		Assert.assertEquals(ids(servers), List.of("a", "b"));
	}

	@Test
	public void registrationLapsedDuringOutageIsKeptForGracePeriod() {
		this.directory.onSnapshot(List.of(Fixtures.record("a", "ready", 1), Fixtures.record("b", "ready", 2)));
		this.directory.onConfirmed(this.ages.now());
		this.directory.onUnreachable();
		this.clock.advanceMillis(3_000);
		this.directory.onSnapshot(List.of());
		this.directory.onConfirmed(this.ages.now());
		Assert.assertTrue(this.directory.isUsable("a"));
		this.clock.advanceMillis(1_500);
		this.directory.onRecords(List.of(Fixtures.record("b", "ready", 5)));
		this.directory.onConfirmed(this.ages.now());
		Assert.assertTrue(this.directory.isUsable("a"));
		this.clock.advanceMillis(600);
		Assert.assertFalse(this.directory.isUsable("a"), "not registered within 2 s after the end of the outage");
		Assert.assertTrue(this.directory.isUsable("b"));
	}

	@Test
	public void deletionAfterGracePeriodTakesEffectImmediately() {
		this.directory.onSnapshot(List.of(Fixtures.record("a", "ready", 1)));
		this.directory.onConfirmed(this.ages.now());
		this.directory.onUnreachable();
		this.clock.advanceMillis(100);
		ClockReading sent = this.ages.now();
		this.clock.advanceMillis(2_000);
		this.directory.onConfirmed(sent);
		this.clock.advanceMillis(100);
		this.directory.onRecords(List.of(Fixtures.record("a", null, 2)));
		Assert.assertFalse(this.directory.isUsable("a"), "its registration did not lapse during the outage");
	}

	@Test
	public void deletionWithinGracePeriodTakesEffectAtItsEnd() {
		this.directory.onSnapshot(List.of(Fixtures.record("a", "ready", 1)));
		this.directory.onConfirmed(this.ages.now());
		this.directory.onUnreachable();
		this.clock.advanceMillis(100);
		ClockReading sent = this.ages.now();
		this.clock.advanceMillis(10);
		this.directory.onRecords(List.of(Fixtures.record("a", null, 2)));
		this.directory.onConfirmed(sent);
		Assert.assertTrue(this.directory.isUsable("a"));
		this.clock.advanceMillis(1_950);
		Assert.assertFalse(this.directory.isUsable("a"));
	}

	@Test
	public void droppedServerReturnsOnlyAfterReregistration() {
		ServerDirectory servers = new ServerDirectory(Fixtures::server, this.ages);
		servers.onSnapshot(List.of(Fixtures.record("a", "ready", 1)));
		servers.drop("a");
		Assert.assertFalse(servers.isUsable("a"));
		servers.onRecords(List.of(Fixtures.record("a", "ready", 2)));
		Assert.assertTrue(servers.isUsable("a"));
	}

	private static List<String> ids(ServerDirectory servers) {
		return servers.usable("trade").stream().map(BackendServer::id).sorted().toList();
	}

}
