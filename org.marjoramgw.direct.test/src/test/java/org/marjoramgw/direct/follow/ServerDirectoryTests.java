package org.marjoramgw.direct.follow;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.marjoramgw.HostPort;
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

	@Test
	public void serverThatWasChosenBeforeItsWordHasAnObstacle() {
		this.directory.onSnapshot(List.of(Fixtures.record("a", "ready", 1), Fixtures.record("b", "ready", 2)));
		BackendServer chosen = Fixtures.server("a", bytes("ready")).orElseThrow();
		Assert.assertEquals(this.directory.obstacle(chosen), Optional.empty());
		Assert.assertTrue(this.directory.onLeaving(chosen));
		Assert.assertFalse(this.directory.onLeaving(chosen), "said before");
		Assert.assertEquals(this.directory.obstacle(chosen), Optional.of("it said that it leaves"));
		Assert.assertEquals(ids(this.directory), List.of("b"));
		Assert.assertFalse(this.directory.isUsable("a"));
		Assert.assertEquals(this.directory.describe("trade"), "registered=2 draining=0 said_leaving=1 paused=0");
	}

	@Test
	public void pausedServerHasAnObstacleUntilItsTimeIsOver() {
		this.directory.onSnapshot(List.of(Fixtures.record("paused", "ready", 1), Fixtures.record("b", "ready", 2)));
		BackendServer chosen = Fixtures.server("paused", bytes("ready")).orElseThrow();
		Assert.assertTrue(this.directory.onPause(chosen, 3_600_000));
		Assert.assertFalse(this.directory.onPause(chosen, 1), "paused before");
		Assert.assertEquals(this.directory.obstacle(chosen), Optional.of("it asked for no requests"));
		Assert.assertEquals(ids(this.directory), List.of("b"));
		Assert.assertEquals(this.directory.describe("trade"), "registered=2 draining=0 said_leaving=0 paused=1");
	}

	@Test
	public void obstacleTellsRegistrationsThatEndedOrDrain() {
		this.directory.onSnapshot(List.of(Fixtures.record("a", "draining", 1)));
		Assert.assertEquals(this.directory.obstacle(Fixtures.server("a", bytes("ready")).orElseThrow()),
				Optional.of("its registration is draining"));
		Assert.assertEquals(this.directory.obstacle(Fixtures.server("b", bytes("ready")).orElseThrow()),
				Optional.of("its registration is gone"));
	}

	@Test
	public void wordOfAnEarlierStartTakesNoLaterOneAway() {
		BackendServer later = new BackendServer("a", "trade", new HostPort("127.0.0.1", 1), "a", 4, "v1", 5, false);
		ServerDirectory servers = new ServerDirectory((id, value) -> Optional.of(later), this.ages);
		servers.onSnapshot(List.of(Fixtures.record("a", "ready", 1)));
		BackendServer earlier = new BackendServer("a", "trade", new HostPort("127.0.0.1", 1), "a", 4, "v1", 4, false);
		Assert.assertTrue(servers.onLeaving(earlier));
		Assert.assertTrue(servers.isUsable("a"));
		Assert.assertEquals(servers.obstacle(earlier), Optional.of("it said that it leaves"));
		Assert.assertTrue(servers.onLeaving(later));
		Assert.assertFalse(servers.onLeaving(earlier), "a later start said so");
		Assert.assertFalse(servers.isUsable("a"));
	}

	@Test
	public void wordsOfManyServersThatAreGoneAreForgotten() {
		this.directory.onSnapshot(List.of(Fixtures.record("a", "ready", 1)));
		this.directory.onLeaving(Fixtures.server("a", bytes("ready")).orElseThrow());
		BackendServer first = Fixtures.server("gone-0", bytes("ready")).orElseThrow();
		for (int server = 0; server < 2_000; server++) {
			this.directory.onLeaving(Fixtures.server("gone-" + server, bytes("ready")).orElseThrow());
		}
		Assert.assertFalse(this.directory.isUsable("a"), "it is still registered");
		Assert.assertTrue(this.directory.onLeaving(first), "the oldest is forgotten");
		Assert.assertFalse(this.directory.onLeaving(Fixtures.server("gone-1999", bytes("ready")).orElseThrow()));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static List<String> ids(ServerDirectory servers) {
		return servers.usable("trade").stream().map(BackendServer::id).sorted().toList();
	}

}
