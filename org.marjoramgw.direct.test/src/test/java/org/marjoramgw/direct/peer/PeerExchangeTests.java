package org.marjoramgw.direct.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.HostPort;
import org.marjoramgw.policy.fleet.Digest;
import org.marjoramgw.policy.fleet.DigestListener;
import org.marjoramgw.policy.fleet.DigestSource;
import org.marjoramgw.policy.fleet.ServerReport;
import org.marjoramgw.program.Pause;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link PeerExchange} with real sockets on loopback and a simulated time.
 *
 * @author The marjoramgw authors
 */
public class PeerExchangeTests {

	private static final int MAX_ROUNDS = 400;

	private MemoryTopic topic;

	private ManualTimers timers;

	private List<Endpoint> endpoints;

	@BeforeMethod
	public void setUp() {
		this.topic = new MemoryTopic();
		this.timers = new ManualTimers();
		this.endpoints = new ArrayList<>();
	}

	@AfterMethod(alwaysRun = true)
	public void closeEndpoints() {
		this.endpoints.forEach((endpoint) -> endpoint.exchange.close());
	}

	/** Guards against reports that don't reach all others. */
	@Test
	public void threeProcessesExchangeTheirReports() {
		Endpoint a = start("a", 1);
		Endpoint b = start("b", 2);
		Endpoint c = start("c", 3);
		b.reports = List.of(new ServerReport(7, 17_024, 0, 1, 0, 55.5, 230));
		runUntil(() -> a.members.size() == 3 && b.heard.size() == 2 && c.heard.size() == 2
				&& a.received.stream().anyMatch((digest) -> digest.servers().equals(b.reports)));
		Assert.assertEquals(a.heard, Set.of("b", "c"));
		Assert.assertEquals(this.topic.callCount(), 7, "two calls of each, and one more page");
		Assert.assertTrue(a.registry.counter("digests.sent").getCount() > 0);
		Assert.assertTrue(a.registry.counter("digests.received").getCount() > 0);
	}

	/** Guards against rows of a process that ended, or whose incarnation did. */
	@Test
	public void killedProcessExpiresAndReturnsWithANewIncarnation() {
		Endpoint a = start("a", 1);
		Endpoint b = start("b", 2);
		runUntil(() -> a.heard.contains("b"));
		b.exchange.close();
		runUntil(() -> a.heard.isEmpty());
		start("b", 3);
		runUntil(() -> a.heard.contains("b"));
		Assert.assertEquals(a.received.get(a.received.size() - 1).incarnation(), 3);
		Assert.assertEquals(a.members, Set.of("a", "b"));
	}

	/** Guards against a sender that stops the exchange by what it sends. */
	@Test
	public void foreignDatagramsAreCountedAndDropped() throws IOException {
		Endpoint a = start("a", 1);
		Endpoint b = start("b", 2);
		runUntil(() -> a.heard.contains("b"));
		Random random = TestSeed.random(1);
		try (DatagramSocket socket = new DatagramSocket()) {
			for (int number = 0; number < 50; number++) {
				byte[] bytes = new byte[random.nextInt(2_000)];
				random.nextBytes(bytes);
				socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getByName("127.0.0.1"), a.port()));
			}
		}
		runUntil(() -> a.registry.counter("digests.dropped.malformed").getCount() == 50);
		int count = a.received.size();
		runUntil(() -> a.received.size() > count);
		Assert.assertEquals(a.members, Set.of("a", "b"));
		Assert.assertEquals(b.heard, Set.of("a"));
	}

	/** Guards against a listener or a source whose failure ends the rounds. */
	@Test
	public void failureOfTheListenerDoesNotEndTheRounds() {
		Endpoint a = start("a", 1);
		Endpoint b = start("b", 2);
		a.failing = true;
		runUntil(() -> a.failureCount > 3);
		a.failing = false;
		runUntil(() -> a.heard.contains("b") && b.heard.contains("a"));
	}

	/** Guards against figures from before a pause that are used as if they were new. */
	@Test
	public void digestsThatWaitedDuringAPauseAreDropped() {
		Endpoint a = start("a", 1);
		Endpoint b = start("b", 2);
		runUntil(() -> a.heard.contains("b") && b.heard.contains("a"));
		this.timers.pause(30_000);
		this.timers.advance(0);
		Assert.assertEquals(a.members, Set.of("a", "b"));
		Assert.assertTrue(a.heard.isEmpty() || b.heard.isEmpty());
		runUntil(() -> a.heard.contains("b") && b.heard.contains("a"));
		Assert.assertTrue(a.registry.counter("digests.dropped.late").getCount()
				+ b.registry.counter("digests.dropped.late").getCount() > 0);
	}

	/** Guards against a process without peers because the store is away. */
	@Test
	public void processesFindEachOtherOnceTheStoreIsBack() {
		this.topic.setAway(true);
		Endpoint a = start("a", 1);
		Endpoint b = start("b", 2);
		this.timers.advance(20_000);
		Assert.assertEquals(a.heard, Set.of());
		this.topic.setAway(false);
		runUntil(() -> a.heard.contains("b") && b.heard.contains("a"));
	}

	/** Guards against a process that ends because its address is still in use. */
	@Test
	public void addressInUseIsTriedAgain() throws IOException {
		try (DatagramSocket blocker = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
			Endpoint a = start("a", 1, blocker.getLocalPort());
			start("b", 2);
			this.timers.advance(5_000);
			Assert.assertEquals(a.heard, Set.of());
			blocker.close();
			runUntil(() -> a.heard.contains("b"));
		}
	}

	private void runUntil(BooleanSupplier condition) {
		for (int round = 0; round < MAX_ROUNDS; round++) {
			if (condition.getAsBoolean()) {
				return;
			}
			this.timers.advance(250);
			Pause.millis(1);
		}
		Assert.fail("not reached in " + MAX_ROUNDS + " rounds");
	}

	private Endpoint start(String id, long incarnation) {
		return start(id, incarnation, 0);
	}

	private Endpoint start(String id, long incarnation, int port) {
		Endpoint endpoint = new Endpoint(id, incarnation, port);
		this.endpoints.add(endpoint);
		endpoint.exchange.start();
		return endpoint;
	}

	private final class Endpoint implements DigestSource, DigestListener {

		private final String id;

		private final MetricRegistry registry = new MetricRegistry();

		private final PeerExchange exchange;

		private final List<Digest> received = new ArrayList<>();

		private List<ServerReport> reports = List.of();

		private Set<String> heard = Set.of();

		private Set<String> members = Set.of();

		private boolean failing;

		private int failureCount;

		private Endpoint(String id, long incarnation, int port) {
			this.id = id;
			this.exchange = new PeerExchange(id, incarnation, new HostPort("127.0.0.1", port),
					PeerExchangeTests.this.topic, this, this, PeerExchangeTests.this.timers,
					PeerExchangeTests.this.timers, this.registry, TestSeed.random((int) incarnation));
		}

		private int port() {
			return PeerExchangeTests.this.topic.readLatest("")
				.toCompletableFuture()
				.join()
				.records()
				.stream()
				.filter((record) -> record.key().equals(this.id))
				.findFirst()
				.flatMap(PeerRecordCodec::decode)
				.orElseThrow()
				.address()
				.getPort();
		}

		@Override
		public Digest next(boolean complete) {
			failIfSet();
			return new Digest(this.id, 1, 1, this.reports, List.of());
		}

		@Override
		public void onDigest(Digest digest) {
			failIfSet();
			this.received.add(digest);
		}

		@Override
		public void onMembers(Set<String> heardIds, Set<String> memberIds) {
			failIfSet();
			this.heard = heardIds;
			this.members = memberIds;
		}

		private void failIfSet() {
			if (this.failing) {
				this.failureCount++;
				throw new IllegalStateException("failing");
			}
		}

	}

}
