package org.marjoramgw.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.direct.caller.Resumption;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.stream.SharedStreamVersions;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.stream.StreamOrigin;
import org.marjoramgw.program.Pause;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.PekkoTimers;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * Tests {@link SharedStreamVersions} of two processes with a store that fails.
 *
 * @author The marjoramgw authors
 */
public class StreamSharingTests {

	private static final int WAIT_STEPS = 300;

	private static final int STEP_MILLIS = 10;

	private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "streams",
			ConfigFactory.load("direct"));

	@AfterClass
	public void stop() {
		this.system.terminate();
	}

	/** Guards against a version in use that nobody could know of after a kill. */
	@Test
	public void versionIsNotUsedBeforeItsMarkIsAcknowledged() {
		MemoryTopic topic = new MemoryTopic();
		Process process = new Process("a", topic);
		process.register("i-1", "v1", 1);
		process.start();
		process.await(() -> !topic.readLatest("").toCompletableFuture().join().records().isEmpty());
		process.fault = FaultyTopic.Fault.AWAY;
		process.register("i-2", "v2", 1);
		Pause.millis(STEP_MILLIS * 10);
		Assert.assertTrue(process.mayBegin("i-1"));
		Assert.assertFalse(process.mayBegin("i-2"));
		process.fault = FaultyTopic.Fault.NONE;
		process.await(() -> process.mayBegin("i-2"));
	}

	/** Guards against a take-up that is refused while the stream's process records it. */
	@Test
	public void streamThatHasJustBegunElsewhereIsFound() throws Exception {
		MemoryTopic topic = new MemoryTopic();
		Process first = mixed("a", topic);
		Process second = mixed("b", topic);
		first.begin("r1", "i-2");
		Assert.assertEquals(second.locate("r1"), Optional.of(new StreamOrigin("s", Optional.of("v2"))));
		Assert.assertEquals(first.locate("r1"), second.locate("r1"));
		Assert.assertEquals(second.locate("r0"), Optional.empty(), "nobody has begun it");
	}

	/**
	 * Guards against a stream that goes on by what a process knew before it was cut off.
	 */
	@Test
	public void nobodyCanSayWithoutTheStore() throws Exception {
		Process process = new Process("a", new MemoryTopic());
		process.register("i-1", "v1", 1);
		process.start();
		process.await(() -> process.mayBegin("i-1"));
		Assert.assertEquals(process.locate("r1"), Optional.of(new StreamOrigin("s", Optional.of("v1"))),
				"there was never another version");
		process.fault = FaultyTopic.Fault.AWAY;
		Assert.assertEquals(process.locate("r1"), Optional.empty());
	}

	/** Guards against a server that restarts with another version under its id. */
	@Test
	public void streamOfAServerThatRestartsUnderItsIdGoesOnNowhere() throws Exception {
		MemoryTopic topic = new MemoryTopic();
		Process first = mixed("a", topic);
		first.begin("r1", "i-1");
		first.register("i-1", "v2", System.currentTimeMillis());
		Process second = mixed("b", topic);
		Optional<StreamOrigin> origin = second.locate("r1");
		Assert.assertEquals(origin, Optional.of(new StreamOrigin("s", Optional.empty())));
		Assert.assertFalse(origin.get().mayGoOnAt("v1") || origin.get().mayGoOnAt("v2"));
	}

	private Process mixed(String id, MemoryTopic topic) {
		Process process = new Process(id, topic);
		process.register("i-1", "v1", 1);
		process.register("i-2", "v2", 1);
		process.start();
		process.await(() -> process.mayBegin("i-1") && process.mayBegin("i-2"));
		return process;
	}

	/** What one process knows of the streams. */
	private final class Process {

		private final ServerDirectory directory;

		private final SharedStreamVersions streams;

		private volatile FaultyTopic.Fault fault = FaultyTopic.Fault.NONE;

		private Process(String id, MemoryTopic topic) {
			MillisClock clock = new SystemMillisClock();
			this.directory = new ServerDirectory(ServerRegistration::decode, new AgeClock(clock, clock));
			this.streams = new SharedStreamVersions(id, this.directory, new FaultyTopic(topic, () -> this.fault), clock,
					System::currentTimeMillis, new PekkoTimers(StreamSharingTests.this.system),
					new Backoff(50, 100, TestSeed.random(54)));
		}

		private void start() {
			this.streams.start();
		}

		private void register(String id, String version, long born) {
			String value = "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"slots\":8,"
					+ "\"state\":\"ready\",\"version\":\"" + version + "\",\"born\":" + born + "}";
			this.directory
				.onRecords(List.of(new KeyedRecord(id, Optional.of(value.getBytes(StandardCharsets.UTF_8)), 0)));
			this.streams.onRegistrations();
		}

		private BackendServer server(String id) {
			return this.directory.all().stream().filter((server) -> server.id().equals(id)).findFirst().orElseThrow();
		}

		private boolean mayBegin(String serverId) {
			return this.streams.mayBegin(server(serverId));
		}

		private void begin(String requestId, String serverId) {
			this.streams.onBegun(requestId, this.streams.originAt(server(serverId)), server(serverId));
		}

		private Optional<StreamOrigin> locate(String requestId) throws Exception {
			return this.streams.locate(new Resumption(Optional.of(requestId)), "s")
				.toCompletableFuture()
				.get(2, TimeUnit.SECONDS);
		}

		private void await(BooleanSupplier condition) {
			for (int step = 0; step < WAIT_STEPS && !condition.getAsBoolean(); step++) {
				Pause.millis(STEP_MILLIS);
			}
			Assert.assertTrue(condition.getAsBoolean());
		}

	}

}
