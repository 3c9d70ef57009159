package org.marjoramgw.policy.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.policy.fleet.LoadObserver.RequestObserver;
import org.marjoramgw.policy.pace.PaceBook;
import org.marjoramgw.policy.pace.RampListener;
import org.marjoramgw.policy.pace.ServerRamp;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link FleetBook}.
 *
 * @author The marjoramgw authors
 */
public class FleetBookTests {

	private static final int SERVER = 7;

	private static final List<SharedPart> SHARED = List.of(new SharedPart(11, 1_000), new SharedPart(12, 2_000));

	private ManualMillisClock clock;

	private FleetBook book;

	private FleetBook peer;

	@BeforeMethod
	public void startProcesses() {
		this.clock = new ManualMillisClock(100_000);
		this.book = start("e0", 1);
		this.peer = start("e1", 1);
		this.book.onMembers(Set.of("e1"), Set.of("e0", "e1"));
	}

	@Test
	public void ownLoadCountsAtOnceWithoutCachedParts() {
		RequestObserver first = send(this.book);
		Assert.assertEquals(this.book.load(SERVER), new ServerLoad(3_500, 1));
		RequestObserver second = send(this.book);
		Assert.assertEquals(this.book.load(SERVER), new ServerLoad(4_000, 2));
		first.onFirstToken();
		first.onFirstToken();
		Assert.assertEquals(this.book.load(SERVER), new ServerLoad(500, 2));
		first.onEnd(false);
		first.onEnd(true);
		second.onEnd(true);
		Assert.assertEquals(this.book.load(SERVER), ServerLoad.NONE);
	}

	@Test
	public void partIsCachedForTwentySecondsAndAtThatServerOnly() {
		send(this.book).onEnd(false);
		Assert.assertTrue(this.book.isCached(12, SERVER));
		Assert.assertFalse(this.book.isCached(12, SERVER + 1));
		this.clock.advanceMillis(20_001);
		Assert.assertFalse(this.book.isCached(12, SERVER));
	}

	@Test
	public void promptIsColdUntilItsSharedPartsWereSentToThatServer() {
		Assert.assertTrue(this.book.isCold(SERVER, SHARED));
		send(this.peer);
		this.book.onDigest(this.peer.next(false));
		Assert.assertFalse(this.book.isCold(SERVER, SHARED));
		Assert.assertTrue(this.book.isCold(SERVER + 1, SHARED));
		Assert.assertFalse(this.book.isCold(SERVER + 1, List.of(new SharedPart(7, 350))));
		Assert.assertFalse(this.book.isCold(SERVER + 1, List.of()));
	}

	@Test
	public void pausesOfAStreamAreReportedAsPace() {
		RequestObserver request = send(this.peer);
		for (int event = 0; event < 10; event++) {
			request.onPause(40);
		}
		ServerReport report = this.peer.next(false).servers().get(0);
		Assert.assertEquals(report.eventsPerSecond(), 25, 0.01);
		Assert.assertEquals(report.longPauseMillis(), 40);
	}

	@Test
	public void loadAndPartsOfAPeerCountUntilItIsSilent() {
		send(this.peer);
		this.book.onDigest(this.peer.next(false));
		Assert.assertEquals(this.book.load(SERVER), new ServerLoad(3_500, 1));
		Assert.assertTrue(this.book.isCached(12, SERVER));
		this.clock.advanceMillis(2_300);
		Assert.assertEquals(this.book.load(SERVER), ServerLoad.NONE);
	}

	@Test
	public void digestsOfAnOldIncarnationOrOutOfOrderAreDropped() {
		Digest early = this.peer.next(true);
		send(this.peer);
		Digest late = this.peer.next(true);
		this.book.onDigest(late);
		this.book.onDigest(early);
		Assert.assertEquals(this.book.load(SERVER).requestCount(), 1.0);
		FleetBook restarted = start("e1", 2);
		this.book.onDigest(restarted.next(true));
		this.book.onDigest(this.peer.next(true));
		Assert.assertEquals(this.book.load(SERVER), ServerLoad.NONE);
	}

	@Test
	public void endThatWasLostArrivesWithTheNextCompleteDigest() {
		RequestObserver request = send(this.peer);
		this.book.onDigest(this.peer.next(false));
		request.onEnd(false);
		this.peer.next(false);
		this.book.onDigest(this.peer.next(false));
		Assert.assertEquals(this.book.load(SERVER).requestCount(), 1.0);
		this.book.onDigest(this.peer.next(true));
		Assert.assertEquals(this.book.load(SERVER), ServerLoad.NONE);
	}

	@Test
	public void unchangedRowsAndPartsAreNotSentAgain() {
		send(this.peer);
		for (int repetition = 0; repetition < 3; repetition++) {
			Assert.assertEquals(this.peer.next(false).prompts().size(), 1);
		}
		Digest digest = this.peer.next(false);
		Assert.assertTrue(digest.servers().isEmpty() && digest.prompts().isEmpty(), digest.toString());
	}

	@Test
	public void loadOfPeersIsScaledToAllMembers() {
		Set<String> heard = Set.of("e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8");
		Set<String> members = new java.util.HashSet<>(heard);
		for (int member = 9; member <= 16; member++) {
			members.add("e" + member);
		}
		members.add("e0");
		this.book.onMembers(heard, members);
		for (String id : heard) {
			FleetBook sender = start(id, 1);
			send(sender);
			this.book.onDigest(sender.next(false));
		}
		Assert.assertEquals(this.book.load(SERVER).requestCount(), 16.0);
	}

	@Test
	public void loadIsZeroOnceAllRequestsEndedWhateverIsLost() {
		Random random = TestSeed.random(9);
		List<RequestObserver> open = new ArrayList<>();
		for (int step = 0; step < 4_000; step++) {
			FleetBook sender = random.nextBoolean() ? this.book : this.peer;
			switch (random.nextInt(4)) {
				case 0 -> open.add(sender.onSent(random.nextInt(5), SHARED, random.nextInt(9_000), 500));
				case 1 -> {
					if (!open.isEmpty()) {
						open.get(random.nextInt(open.size())).onFirstToken();
					}
				}
				case 2 -> {
					if (!open.isEmpty()) {
						open.remove(random.nextInt(open.size())).onEnd(random.nextBoolean());
					}
				}
				default -> {
					Digest digest = this.peer.next(random.nextInt(8) == 0);
					if (random.nextInt(3) != 0) {
						this.book.onDigest(digest);
					}
					this.clock.advanceMillis(random.nextInt(300));
				}
			}
		}
		open.forEach((request) -> request.onEnd(false));
		this.book.onDigest(this.peer.next(true));
		for (int server = 0; server < 5; server++) {
			Assert.assertEquals(this.book.load(server), ServerLoad.NONE, "seed " + TestSeed.value());
		}
	}

	private FleetBook start(String id, long incarnation) {
		return new FleetBook(id, incarnation, this.clock, () -> 0, new PaceBook(this.clock),
				new ServerRamp(this.clock, RampListener.NONE));
	}

	private static RequestObserver send(FleetBook sender) {
		return sender.onSent(SERVER, SHARED, 3_500, 1_000);
	}

}
