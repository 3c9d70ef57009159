package org.marjoramgw.policy.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;

import org.marjoramgw.policy.fleet.SimulatedPeers.Process;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of the decisions on peers and on their digests.
 *
 * @author The marjoramgw authors
 */
public class PeerMembershipTests {

	private static final InetSocketAddress ADDRESS = SimulatedPeers.address(1);

	private static final InetSocketAddress OTHER_ADDRESS = SimulatedPeers.address(2);

	/** Guards against a peer that is counted twice because its datagram was repeated. */
	@Test
	public void duplicatesAndOvertakenDigestsAreDropped() {
		PeerMembership membership = membership();
		Assert.assertEquals(membership.onDigest("b", 7, 5, ADDRESS, 0), DigestVerdict.ACCEPTED);
		Assert.assertEquals(membership.onDigest("b", 7, 5, ADDRESS, 1), DigestVerdict.OUT_OF_ORDER);
		Assert.assertEquals(membership.onDigest("b", 7, 4, ADDRESS, 2), DigestVerdict.OUT_OF_ORDER);
		Assert.assertEquals(membership.onDigest("b", 7, 6, ADDRESS, 3), DigestVerdict.ACCEPTED);
		Assert.assertEquals(membership.heardIds(), Set.of("b"));
		Assert.assertEquals(membership.memberIds(), Set.of("a", "b"));
	}

	/** Guards against rows of a killed process that come after those of its successor. */
	@Test
	public void restartedPeerBeginsAnewAndItsOldDigestsAreDropped() {
		PeerMembership membership = membership();
		membership.onDigest("b", 7, 900, ADDRESS, 0);
		Assert.assertEquals(membership.onDigest("b", 8, 1, ADDRESS, 10), DigestVerdict.ACCEPTED);
		Assert.assertEquals(membership.onDigest("b", 7, 901, ADDRESS, 20), DigestVerdict.OLD_INCARNATION);
		Assert.assertEquals(membership.onDigest("b", 8, 2, ADDRESS, 30), DigestVerdict.ACCEPTED);
		Assert.assertEquals(membership.memberIds().size(), 2);
	}

	/**
	 * Guards against a process that stays unheard because the clock of its VM was set
	 * back before it restarted.
	 */
	@Test
	public void restartAfterTheClockWasSetBackIsAcceptedAfterTheSilence() {
		PeerMembership membership = membership();
		membership.onDigest("b", 7_000, 900, ADDRESS, 0);
		Assert.assertEquals(membership.onDigest("b", 5_000, 1, ADDRESS, PeerMembership.SILENCE_MILLIS - 1),
				DigestVerdict.OLD_INCARNATION);
		Assert.assertEquals(membership.onDigest("b", 5_000, 2, ADDRESS, PeerMembership.SILENCE_MILLIS),
				DigestVerdict.ACCEPTED);
	}

	/** Guards against a process that takes the name of another at a reused address. */
	@Test
	public void digestFromAnotherAddressIsDropped() {
		PeerMembership membership = membership();
		membership.onDigest("b", 7, 1, ADDRESS, 0);
		Assert.assertEquals(membership.onDigest("b", 7, 2, OTHER_ADDRESS, 1), DigestVerdict.FOREIGN_ADDRESS);
		Assert.assertEquals(membership.onDigest("b", 8, 1, OTHER_ADDRESS, 2), DigestVerdict.ACCEPTED);
		Assert.assertEquals(membership.targets(0, 3), List.of(OTHER_ADDRESS));
	}

	/** Guards against a process that counts its own load twice. */
	@Test
	public void ownDigestsAndOwnRecordAreIgnored() {
		PeerMembership membership = membership();
		Assert.assertEquals(membership.onDigest("a", 3, 1, ADDRESS, 0), DigestVerdict.OWN);
		membership.onListed(List.of(new PeerListing("a", 9, ADDRESS)), true, 0);
		Assert.assertEquals(membership.memberIds(), Set.of("a"));
		Assert.assertEquals(membership.targets(0, 0), List.of());
	}

	/** Guards against memory that grows with the number of invented senders. */
	@Test
	public void numberOfPeersIsBounded() {
		PeerMembership membership = membership();
		for (int index = 0; index < PeerMembership.MAX_PEERS; index++) {
			membership.onDigest("peer-" + index, 1, 1, SimulatedPeers.address(index), 0);
		}
		Assert.assertEquals(membership.onDigest("one-more", 1, 1, ADDRESS, 0), DigestVerdict.TOO_MANY_PEERS);
		membership.onListed(List.of(new PeerListing("listed", 1, ADDRESS)), false, 0);
		Assert.assertEquals(membership.memberIds().size(), PeerMembership.MAX_PEERS + 1);
	}

	/** Guards against an old record of the list that replaces what a peer itself says. */
	@Test
	public void listNeverReplacesANewerIncarnation() {
		PeerMembership membership = membership();
		membership.onDigest("b", 8, 1, ADDRESS, 0);
		membership.onListed(List.of(new PeerListing("b", 7, OTHER_ADDRESS)), true, 1);
		Assert.assertEquals(membership.targets(0, 1), List.of(ADDRESS));
		membership.onListed(List.of(new PeerListing("b", 9, OTHER_ADDRESS)), true, 2);
		Assert.assertEquals(membership.targets(1, 2), List.of(OTHER_ADDRESS));
	}

	/** Guards against rows that are used for longer than 2 s after the last datagram. */
	@Test
	public void silentPeerExpiresThenGetsFewDigestsAndIsForgotten() {
		SimulatedPeers peers = new SimulatedPeers(TestSeed.random(1));
		Process a = peers.start("a", 0);
		Process b = peers.start("b", 1);
		peers.list(a);
		peers.run(1_000);
		Assert.assertEquals(a.membership.heardIds(), Set.of("b"));
		Assert.assertEquals(b.membership.heardIds(), Set.of("a"), "b learns of a by its datagrams");
		a.membership.onUnlisted("b");
		peers.kill(1);
		peers.run(PeerMembership.EXPIRY_MILLIS + 500);
		Assert.assertEquals(a.membership.heardIds(), Set.of());
		Assert.assertEquals(a.membership.memberIds(), Set.of("a", "b"));
		peers.run(PeerMembership.SILENCE_MILLIS);
		Assert.assertEquals(a.membership.memberIds(), Set.of("a"));
		a.sentTo.clear();
		peers.run(16_000);
		Assert.assertEquals(a.sentTo.get(b.address), Integer.valueOf(8));
		peers.run(PeerMembership.FORGET_MILLIS);
		a.sentTo.clear();
		peers.run(16_000);
		Assert.assertTrue(a.sentTo.isEmpty());
		Assert.assertEquals(a.events, List.of("joined b", "expired b"));
	}

	/** Guards against a listed process that is never tried again after an outage. */
	@Test
	public void listedPeerIsTriedForAsLongAsItIsListed() {
		SimulatedPeers peers = new SimulatedPeers(TestSeed.random(2));
		Process a = peers.start("a", 0);
		peers.start("b", 1);
		peers.list(a);
		peers.kill(1);
		peers.run(300_000);
		peers.start("b", 1);
		peers.run(3_000);
		Assert.assertEquals(a.membership.heardIds(), Set.of("b"));
		Assert.assertEquals(a.membership.memberIds(), Set.of("a", "b"));
	}

	/** Guards against a one-way cut that disturbs the side which still hears. */
	@Test
	public void oneWayCutLeavesTheOtherDirectionAlone() {
		SimulatedPeers peers = new SimulatedPeers(TestSeed.random(3));
		peers.startListed(4);
		peers.run(1_000);
		peers.cut(0, 1);
		peers.run(30_000);
		Assert.assertFalse(peers.process(1).membership.heardIds().contains("entry-0"));
		Assert.assertTrue(peers.process(0).membership.heardIds().contains("entry-2"));
		Assert.assertEquals(peers.process(2).membership.heardIds().size(), 3);
		peers.heal(0, 1);
		peers.run(3_000);
		Assert.assertEquals(peers.process(0).membership.heardIds().size(), 3);
		Assert.assertEquals(peers.process(1).membership.heardIds().size(), 3);
	}

	/**
	 * Guards against a frozen process that takes all others for dead when it goes on.
	 */
	@Test
	public void pauseOfTheProcessItselfIsNoSilenceOfItsPeers() {
		SimulatedPeers peers = new SimulatedPeers(TestSeed.random(4));
		peers.startListed(5);
		peers.run(1_000);
		Process frozen = peers.process(2);
		frozen.frozen = true;
		peers.run(30_000);
		Assert.assertFalse(peers.process(0).membership.heardIds().contains("entry-2"));
		frozen.frozen = false;
		frozen.membership.onPause(peers.nowMillis());
		peers.run(250);
		Assert.assertEquals(frozen.membership.memberIds().size(), 5);
		peers.run(3_000);
		Assert.assertEquals(frozen.membership.heardIds().size(), 4);
		Assert.assertEquals(peers.process(0).membership.heardIds().size(), 4);
	}

	/** Guards against changes that the listener isn't told of. */
	@Test
	public void changesOfTheSetsAreNoticed() {
		PeerMembership membership = membership();
		Assert.assertFalse(membership.isChanged());
		membership.onDigest("b", 7, 1, ADDRESS, 0);
		Assert.assertTrue(membership.isChanged());
		membership.acknowledgeChanges();
		membership.onDigest("b", 7, 2, ADDRESS, 250);
		Assert.assertFalse(membership.isChanged());
		membership.advance(250 + PeerMembership.EXPIRY_MILLIS);
		Assert.assertTrue(membership.isChanged());
	}

	private static PeerMembership membership() {
		return new PeerMembership("a", new MembershipListener() {

			@Override
			public void onJoined(String processId, long incarnation, InetSocketAddress address) {
			}

			@Override
			public void onRestarted(String processId, long incarnation, InetSocketAddress address) {
			}

			@Override
			public void onExpired(String processId) {
			}

		});
	}

}
