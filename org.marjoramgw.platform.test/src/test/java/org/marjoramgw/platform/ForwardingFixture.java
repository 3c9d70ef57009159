package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.direct.backend.BackendHttpSettings;
import org.marjoramgw.direct.backend.ConnectionPool;
import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.caller.CallerListener;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.forward.Admission;
import org.marjoramgw.direct.forward.BodyBudget;
import org.marjoramgw.direct.forward.Forwarder;
import org.marjoramgw.direct.forward.ForwardingContext;
import org.marjoramgw.direct.forward.RecentSends;
import org.marjoramgw.direct.forward.RequestLog;
import org.marjoramgw.direct.forward.ServerSelector;
import org.marjoramgw.direct.forward.ServerViews;
import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.direct.quarantine.PromptGuard;
import org.marjoramgw.direct.socket.SocketAcceptor;
import org.marjoramgw.direct.stream.SharedStreamVersions;
import org.marjoramgw.http.BodyReader;
import org.marjoramgw.http.HttpConnector;
import org.marjoramgw.http.StrayBytes;
import org.marjoramgw.policy.partition.PromptPartition;
import org.marjoramgw.policy.placement.LeastLoadedPlacement;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.retry.WindowRetryBudget;
import org.marjoramgw.policy.usage.UsageObserver;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.policy.waiting.StartTimeouts;
import org.marjoramgw.program.Pause;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.PekkoTimers;
import org.marjoramgw.time.Timers;
import org.testng.Assert;

/**
 * Request path of a direct entry process between raw caller sockets and scripted servers.
 *
 * @author The marjoramgw authors
 */
final class ForwardingFixture implements AutoCloseable {

	private static final long MAX_AGE_MILLIS = 3_600_000;

	private static final int READ_TIMEOUT_MILLIS = 4_000;

	private final ActorSystem<Void> system;

	private final SocketAcceptor acceptor;

	private final HostPort address;

	private final ServerDirectory directory;

	private final SharedStreamVersions streams;

	private final Forwarder forwarder;

	private final CallerListener listener;

	private final AtomicLong openedBytes = new AtomicLong();

	private final RecordingLoad load = new RecordingLoad();

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	ForwardingFixture(ScriptedServer... servers) throws Exception {
		this(defaultBodyBudget(), servers);
	}

	/**
	 * Creates a fixture with a budget for the bodies of responses.
	 * @param bodyBudget the budget
	 * @param servers backend servers
	 * @throws Exception if the setup fails
	 */
	ForwardingFixture(BodyBudget bodyBudget, ScriptedServer... servers) throws Exception {
		this((early) -> {
		}, (connector, health, timers) -> PromptGuard.NONE, bodyBudget, servers);
	}

	/**
	 * Creates a fixture whose servers are guarded.
	 * @param guards creates the guard
	 * @param servers backend servers
	 * @throws Exception if the setup fails
	 */
	ForwardingFixture(GuardFactory guards, ScriptedServer... servers) throws Exception {
		this((early) -> {
		}, guards, defaultBodyBudget(), servers);
	}

	/**
	 * Creates a fixture with callers that connect before the process serves them.
	 * @param earlyCallers called while the process is listening but not serving yet
	 * @param servers backend servers
	 * @throws Exception if the setup fails
	 */
	ForwardingFixture(EarlyCallers earlyCallers, ScriptedServer... servers) throws Exception {
		this(earlyCallers, (connector, health, timers) -> PromptGuard.NONE, defaultBodyBudget(), servers);
	}

	private ForwardingFixture(EarlyCallers earlyCallers, GuardFactory guards, BodyBudget bodyBudget,
			ScriptedServer... servers) throws Exception {
		MillisClock monotonicClock = new SystemMillisClock();
		AgeClock clock = new AgeClock(monotonicClock, monotonicClock);
		this.acceptor = SocketAcceptor.bind(new HostPort("127.0.0.1", 0), clock);
		this.address = this.acceptor.address();
		earlyCallers.call(this);
		Config config = ConfigFactory.load("direct");
		this.system = ActorSystem.create(Behaviors.empty(), "bed", config);
		HeaderDialect dialect = new HeaderDialect();
		ActiveRouting routing = new ActiveRouting("config", RoutingDocument::decode, clock);
		routing.onSnapshot(List.of(FixtureRecords.configuration()));
		routing.onConfirmed(clock.now());
		this.directory = new ServerDirectory(ServerRegistration::decode, clock);
		this.directory.onSnapshot(FixtureRecords.registrations(servers));
		ServerHealth health = new ServerHealth(monotonicClock);
		Random random = TestSeed.random(7);
		LeastLoadedPlacement placement = new LeastLoadedPlacement(random);
		PromptPartition partition = new PromptPartition(monotonicClock);
		HttpConnector connector = new HttpConnector(this.system, BackendHttpSettings.of(config), StrayBytes.IGNORED);
		Timers timers = new PekkoTimers(this.system);
		this.streams = new SharedStreamVersions("entry", this.directory, new MemoryTopic(), monotonicClock,
				System::currentTimeMillis, timers, new Backoff(1, 1, random));
		this.streams.start();
		StartLimiter startLimiter = new StartLimiter(4, this.system.executionContext());
		StartTimeouts startTimeouts = new StartTimeouts(monotonicClock, timers);
		ForwardingContext context = new ForwardingContext(this.system, dialect, dialect, routing,
				new Admission(routing, () -> MAX_AGE_MILLIS, () -> MAX_AGE_MILLIS,
						() -> CompletableFuture.completedFuture(true)),
				this.directory, health, startLimiter, startTimeouts,
				new PrefillLimiter(monotonicClock, this.system.executionContext(), () -> 0), partition,
				new ServerSelector(this.directory, ServerViews.ofOwnLoad(health), placement, partition, "a"),
				this.streams, new ConnectionPool(connector, monotonicClock),
				new WindowRetryBudget(monotonicClock, 10_000, 0.2, () -> 50), new BodyReader(this.system), bodyBudget,
				guards.create(connector, health, timers), new RecentSends(), this.load,
				new RequestLog(new MetricRegistry(), monotonicClock, 20), this::countRun, clock, timers, random);
		this.forwarder = new Forwarder(context);
		this.listener = new CallerListener(this.system, ServerSettings.create(config), timers, startLimiter,
				startTimeouts, () -> CallerLimits.DEFAULT, this.forwarder::unread, this.forwarder::handle);
		this.listener.serve(this.acceptor);
	}

	Forwarder forwarder() {
		return this.forwarder;
	}

	CallerListener listener() {
		return this.listener;
	}

	RecordingLoad load() {
		return this.load;
	}

	ServerDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns how many requests of an account have begun to run.
	 * @param account name of the account
	 * @return number of runs that were counted and not taken back
	 */
	int runCount(String account) {
		return this.runs.getOrDefault(account, 0);
	}

	private UsageObserver.Run countRun(String account) {
		this.runs.merge(account, 1, Integer::sum);
		return () -> this.runs.merge(account, -1, Integer::sum);
	}

	/**
	 * Removes the registration of a server.
	 * @param index index of the server
	 */
	void deregister(int index) {
		this.directory.onRecords(List.of(new KeyedRecord("i-" + index, Optional.empty(), 0)));
	}

	/**
	 * Sends a request and reads until the connection is closed.
	 * @param target method and target
	 * @param more further header lines, each with its line end
	 * @param body the body
	 * @return all bytes of the response, or {@code reset} if the connection was reset
	 * @throws IOException if the connection can't be used
	 */
	String call(String target, String more, String body) throws IOException {
		try (Socket caller = open(target, "Connection: close\r\n" + more, body)) {
			return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (SocketException ex) {
			return "reset";
		}
	}

	/**
	 * Sends a request.
	 * @param target method and target
	 * @param more further header lines, each with its line end
	 * @param body the body
	 * @return the open connection
	 * @throws IOException if the connection can't be used
	 */
	Socket open(String target, String more, String body) throws IOException {
		Socket caller = connect(0);
		this.openedBytes.addAndGet(send(caller, target, more, body));
		return caller;
	}

	/**
	 * Waits until the process has read what was sent by {@link #open}.
	 */
	void awaitRead() {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MILLIS);
		while (this.acceptor.receivedBytes() < this.openedBytes.get()) {
			Assert.assertTrue(System.nanoTime() < endNanos,
					"read " + this.acceptor.receivedBytes() + " of " + this.openedBytes + " bytes");
			Pause.millis(1);
		}
	}

	/**
	 * Connects as a caller.
	 * @param receiveBufferBytes size of the receive buffer, in bytes, or 0 for that of
	 * the operating system
	 * @return the open connection
	 * @throws IOException if the connection fails
	 */
	Socket connect(int receiveBufferBytes) throws IOException {
		Socket caller = new Socket();
		if (receiveBufferBytes > 0) {
			caller.setReceiveBufferSize(receiveBufferBytes);
		}
		caller.connect(this.address.toSocketAddress());
		caller.setSoTimeout(READ_TIMEOUT_MILLIS);
		return caller;
	}

	/**
	 * Sends a request on an open connection. Its id is {@code r1} unless the further
	 * header lines have another.
	 * @param caller the connection
	 * @param target method and target
	 * @param more further header lines, each with its line end
	 * @param body the body
	 * @return number of bytes that were sent
	 * @throws IOException if the connection can't be used
	 */
	static int send(Socket caller, String target, String more, String body) throws IOException {
		String id = more.contains("X-Request-Id: ") ? "" : "X-Request-Id: r1\r\n";
		String head = target + " HTTP/1.1\r\nHost: carob.example\r\n" + id + "Content-Length: " + body.length() + "\r\n"
				+ more + "\r\n";
		caller.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
		return head.length() + body.length();
	}

	/**
	 * Reads the beginning of a response.
	 * @param caller the connection
	 * @return version and status
	 * @throws IOException if the connection can't be used
	 */
	static String readStatus(Socket caller) throws IOException {
		return new String(caller.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
	}

	/**
	 * Closes connections of callers.
	 * @param callers the connections
	 * @throws IOException if one can't be closed
	 */
	static void closeAll(List<Socket> callers) throws IOException {
		for (Socket caller : callers) {
			caller.close();
		}
	}

	@Override
	public void close() {
		this.acceptor.close();
		this.system.terminate();
	}

	private static BodyBudget defaultBodyBudget() {
		return new BodyBudget(1 << 20, 4 << 20);
	}

	/**
	 * Creates the guard of the backend servers.
	 */
	@FunctionalInterface
	interface GuardFactory {

		/**
		 * Creates the guard.
		 * @param connector connector of the fixture
		 * @param health failure state of its servers
		 * @param timers its timers
		 * @return the guard
		 */
		PromptGuard create(HttpConnector connector, ServerHealth health, Timers timers);

	}

	/**
	 * Actions of callers before the process serves them.
	 */
	@FunctionalInterface
	interface EarlyCallers {

		/**
		 * Connects the callers.
		 * @param fixture the fixture, which doesn't respond yet
		 * @throws Exception if a connection can't be used
		 */
		void call(ForwardingFixture fixture) throws Exception;

	}

}
