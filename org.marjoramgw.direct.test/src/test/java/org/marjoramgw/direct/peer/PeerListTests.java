package org.marjoramgw.direct.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.Fixtures;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.fleet.PeerListing;
import org.marjoramgw.policy.retry.Backoff;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link PeerList} and {@link PeerRecordCodec}.
 *
 * @author The marjoramgw authors
 */
public class PeerListTests {

	private static final HostPort ADDRESS = new HostPort("127.0.0.1", 4_000);

	private MemoryTopic topic;

	private ManualTimers timers;

	@BeforeMethod
	public void setUp() {
		this.topic = new MemoryTopic();
		this.timers = new ManualTimers();
	}

	/** Guards against two processes of which neither finds the other. */
	@Test
	public void ownRecordIsAppendedBeforeTheOthersAreRead() {
		Reader first = new Reader("a", 1);
		Reader second = new Reader("b", 2);
		first.list.start(ADDRESS);
		second.list.start(ADDRESS);
		Assert.assertEquals(second.listedIds, Set.of("a", "b"));
		Assert.assertEquals(this.topic.callCount(), 4);
		first.list.read();
		Assert.assertEquals(first.listedIds, Set.of("a", "b"));
		Assert.assertEquals(this.topic.callCount(), 5);
	}

	/** Guards against a list of which only the first page is used. */
	@Test
	public void allPagesAreRead() {
		for (int number = 0; number < 7; number++) {
			append(PeerRecordCodec.encode("p" + number, 1, ADDRESS));
		}
		Reader reader = new Reader("a", 1);
		reader.list.start(ADDRESS);
		Assert.assertEquals(reader.listedIds.size(), 8);
		Assert.assertEquals(reader.completeCount, 1);
	}

	/** Guards against a process that stays unknown because the store was away. */
	@Test
	public void callsAreRepeatedWhileTheStoreIsAway() {
		Reader reader = new Reader("a", 1);
		this.topic.setAway(true);
		reader.list.start(ADDRESS);
		this.timers.advance(60_000);
		Assert.assertTrue(this.topic.callCount() <= 15, "calls " + this.topic.callCount());
		reader.list.read();
		this.topic.setAway(false);
		this.timers.advance(15_000);
		Assert.assertEquals(reader.listedIds, Set.of("a"));
	}

	/** Guards against a record that an earlier process of the same name deletes. */
	@Test
	public void lostRecordIsAppendedAgain() {
		Reader old = new Reader("a", 1);
		old.list.start(ADDRESS);
		Reader reader = new Reader("a", 2);
		reader.list.start(ADDRESS);
		old.list.close();
		reader.list.read();
		Reader other = new Reader("b", 3);
		other.list.start(ADDRESS);
		Assert.assertEquals(other.listedIds, Set.of("a", "b"));
	}

	/** Guards against a replaced process that takes the name back from its successor. */
	@Test
	public void recordOfASuccessorStays() {
		Reader old = new Reader("a", 1);
		old.list.start(ADDRESS);
		new Reader("a", 2).list.start(ADDRESS);
		int callCount = this.topic.callCount();
		old.list.read();
		Assert.assertEquals(this.topic.callCount(), callCount + 1);
	}

	/** Guards against a process that ended and is still listed. */
	@Test
	public void deletedRecordsAreTold() {
		Reader leaving = new Reader("a", 1);
		leaving.list.start(ADDRESS);
		Reader reader = new Reader("b", 2);
		reader.list.start(ADDRESS);
		leaving.list.close();
		leaving.list.read();
		reader.list.read();
		Assert.assertEquals(reader.deletedIds, Set.of("a"));
	}

	/** Guards against a reader that stops once the store dropped what it reads next. */
	@Test
	public void expiredRecordsLeadToACompleteRead() {
		Reader reader = new Reader("a", 1);
		reader.list.start(ADDRESS);
		append(PeerRecordCodec.encode("b", 1, ADDRESS));
		this.topic.compact();
		reader.list.read();
		Assert.assertEquals(reader.listedIds, Set.of("a", "b"));
		Assert.assertEquals(reader.completeCount, 2);
	}

	/** Guards against an exception on records of others. */
	@Test
	public void malformedRecordsNameNoPeer() {
		for (String value : List.of("", "{", "[]", "7", "{\"address\":\"x\",\"incarnation\":1}",
				"{\"address\":\"127.0.0.1:0\",\"incarnation\":1}", "{\"address\":\"127.0.0.1:9\"}",
				"{\"address\":\"127.0.0.1:99999\",\"incarnation\":1}", "{\"address\":7,\"incarnation\":\"x\"}")) {
			Assert.assertEquals(PeerRecordCodec.decode(Fixtures.record("p", value, 0)), Optional.empty(), value);
		}
		Assert.assertEquals(PeerRecordCodec.decode(PeerRecordCodec.encode("p", 5, ADDRESS)),
				Optional.of(new PeerListing("p", 5, ADDRESS.toSocketAddress())));
	}

	private void append(KeyedRecord record) {
		this.topic.append(List.of(record));
	}

	private final class Reader {

		private final PeerList list;

		private final Set<String> listedIds = new HashSet<>();

		private final Set<String> deletedIds = new HashSet<>();

		private int completeCount;

		private Reader(String id, long incarnation) {
			this.list = new PeerList(id, incarnation, PeerListTests.this.topic, PeerListTests.this.timers,
					new Backoff(1_000, 15_000, new Random(1)), this::onListed);
		}

		private void onListed(List<PeerListing> listings, Set<String> deleted, boolean complete) {
			this.listedIds.addAll(listings.stream().map(PeerListing::processId).toList());
			this.deletedIds.addAll(deleted);
			this.completeCount += complete ? 1 : 0;
		}

	}

}
