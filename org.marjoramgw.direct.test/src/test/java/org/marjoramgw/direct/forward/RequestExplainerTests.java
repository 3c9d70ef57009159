package org.marjoramgw.direct.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.Fixtures;
import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.PromptPart;
import org.marjoramgw.direct.model.RequestKind;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.WeightedService;
import org.marjoramgw.direct.quarantine.PromptGuard;
import org.marjoramgw.direct.stream.StreamVersions;
import org.marjoramgw.operator.WhereReport;
import org.marjoramgw.policy.drain.DrainSchedule;
import org.marjoramgw.policy.fleet.LoadObserver;
import org.marjoramgw.policy.partition.PromptPartition;
import org.marjoramgw.policy.placement.AffinityPlacement;
import org.marjoramgw.policy.placement.LeastLoadedPlacement;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.policy.usage.UsageObserver;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.policy.waiting.Urgency;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.time.AgeClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that {@link RequestExplainer} tells what would be decided about a request, and
 * changes nothing.
 *
 * @author The marjoramgw authors
 */
public class RequestExplainerTests {

	private static final String SERVICE = "trade";

	private static final long MAX_AGE_MILLIS = 4_700;

	private static final Route CHAT = stream("/chat/", 120);

	private static final Route PLAN = stream("/plan/", 500);

	private static final Route BOOK = Fixtures.route("/book/", RequestKind.NON_IDEMPOTENT, 1, false);

	private static final Runnable NOTHING = () -> {
	};

	private ManualMillisClock clock;

	private ActiveRouting routing;

	private ServerDirectory directory;

	private ServerHealth health;

	private StartLimiter startLimiter;

	private PrefillLimiter prefillLimiter;

	private PromptPartition partition;

	private Forwarder forwarder;

	private RequestExplainer explainer;

	@BeforeMethod
	public void create() {
		this.clock = new ManualMillisClock(1_000_000);
		AgeClock ages = new AgeClock(this.clock, this.clock);
		this.routing = new ActiveRouting("config", (value) -> Optional.of(Fixtures.routing(7, CHAT, PLAN, BOOK)), ages);
		this.directory = new ServerDirectory(Fixtures::server, ages);
		this.health = new ServerHealth(this.clock);
		this.startLimiter = new StartLimiter(1, Runnable::run);
		this.prefillLimiter = new PrefillLimiter(this.clock, Runnable::run, () -> 0);
		this.partition = new PromptPartition(this.clock);
		this.forwarder = new Forwarder(new ForwardingContext(null, null, null, this.routing,
				Fixtures.admission(this.routing, MAX_AGE_MILLIS), this.directory, this.health, this.startLimiter, null,
				this.prefillLimiter, this.partition, selector(this.partition, new Random(1)), StreamVersions.NONE, null,
				null, null, null, PromptGuard.NONE, null, LoadObserver.NONE, null, UsageObserver.NONE, ages, null,
				new Random(1)));
		this.explainer = this.forwarder.explainer("edge-1", (copy) -> selector(copy, new Random(2)),
				(server) -> Map.of("pace", server.load()));
	}

	@Test
	public void explainsChoiceAndWaits() {
		configure();
		register(4);
		this.health.addLoad("i-3", 2);
		this.startLimiter.acquire(Urgency.read(0, 0), NOTHING);
		this.startLimiter.acquire(Urgency.read(-1, 0), NOTHING);
		WhereReport report = this.explainer.explain(prompt("p", 1_000), Optional.empty(), Optional.empty());
		Assert.assertNull(report.refusal());
		Assert.assertEquals(report.process(), "edge-1");
		Assert.assertEquals(report.configVersion(), 7);
		Assert.assertEquals(report.match(), new WhereReport.Match("r/chat/", "coop", 0, SERVICE, Map.of(SERVICE, 1.0)));
		Assert.assertEquals(report.turn(), new WhereReport.Wait(true, 1, 1_971));
		Assert.assertEquals(report.permit(), new WhereReport.Wait(false, 0, 90));
		Assert.assertTrue(report.choice().rule().startsWith("hash of the shared prompt parts"), report.toString());
		Assert.assertEquals(report.servers().get(0).id(), report.choice().server());
		Assert.assertTrue(report.servers().get(0).chosen());
		Assert.assertEquals(report.servers().stream().filter(WhereReport.Server::candidate).count(), 4);
		WhereReport.Server loaded = server(report, "i-3");
		Assert.assertEquals(loaded.load(), 2.0);
		Assert.assertEquals(loaded.estimates(), Map.of("pace", 2.0));
	}

	/** Guards against a request whose permit is explained as if the server were idle. */
	@Test
	public void explainsWaitForPermit() {
		configure();
		register(1);
		for (int rank : new int[] { 0, 0, -1, -1, -1 }) {
			this.prefillLimiter.acquire("i-0", CHAT.name(), Urgency.read(rank, 0), 300, NOTHING);
		}
		WhereReport report = this.explainer.explain(prompt("p", 1_000), Optional.empty(), Optional.empty());
		Assert.assertEquals(report.permit(), new WhereReport.Wait(true, 1, 90));
		Assert.assertEquals(server(report, "i-0").prefillCount(), 4);
		Assert.assertEquals(server(report, "i-0").waitingCount(), 1);
		Assert.assertEquals(this.prefillLimiter.waitingCount(), 1);
		Assert.assertNull(this.explainer.explain(call(), Optional.empty(), Optional.empty()).permit());
	}

	/** Guards against servers that are missing because they are not usable. */
	@Test
	public void namesObstacles() {
		configure();
		register(5);
		this.directory.onRecords(List.of(Fixtures.record("i-0", "draining", 9)));
		this.directory.onLeaving(backend(1));
		this.directory.onPause(backend(2), 1_000);
		this.health.onUnreachable("i-3");
		WhereReport report = this.explainer.explain(call(), Optional.empty(), Optional.empty());
		Assert.assertEquals(report.choice().server(), "i-4");
		Assert.assertEquals(server(report, "i-0").obstacle(), "its registration is draining");
		Assert.assertEquals(server(report, "i-1").obstacle(), "it said that it leaves");
		Assert.assertEquals(server(report, "i-2").obstacle(), "it asked for no requests");
		Assert.assertTrue(server(report, "i-3").suspect());
		Assert.assertEquals(server(report, "i-3").obstacle(), "");
		Assert.assertFalse(server(report, "i-1").candidate());
	}

	@DataProvider
	public Object[][] refusals() {
		return new Object[][] { { Fixtures.request("/none/x", Fixtures.KEY), 0, ResultCode.UNKNOWN_PATH },
				{ Fixtures.request("/book/x", "other"), 0, ResultCode.UNKNOWN_ACCOUNT },
				{ Fixtures.request("/book/x", Fixtures.KEY), MAX_AGE_MILLIS, ResultCode.CONFIGURATION_STALE },
				{ Fixtures.request("/book/x", Fixtures.KEY), 0, ResultCode.NO_BACKEND },
				{ late(), 0, ResultCode.TIMEOUT_BEFORE_SEND } };
	}

	/** Guards against a refusal that is explained otherwise than callers get it. */
	@Test(dataProvider = "refusals")
	public void explainsRefusal(CallerRequest request, long ageMillis, ResultCode code) {
		configure();
		this.clock.advanceMillis(ageMillis);
		WhereReport report = this.explainer.explain(request, Optional.empty(), Optional.empty());
		Assert.assertEquals(report.refusal().code(), code.number());
		Assert.assertEquals(report.refusal().status(), code.httpStatus());
		Assert.assertNull(report.choice());
		Assert.assertFalse(report.toString().contains(Fixtures.KEY));
	}

	@Test
	public void explainsMissingConfiguration() {
		WhereReport report = this.explainer.explain(call(), Optional.empty(), Optional.empty());
		Assert.assertEquals(report.refusal().code(), ResultCode.NO_CONFIGURATION.number());
		Assert.assertEquals(report.configVersion(), 0);
		Assert.assertEquals(report.configAgeMs(), -1);
	}

	@Test
	public void explainsThatTheProcessLeaves() {
		configure();
		register(1);
		this.forwarder.startDraining(new DrainSchedule(this.clock.nowMillis(), this.clock.nowMillis()));
		Assert.assertEquals(this.explainer.explain(call(), Optional.empty(), Optional.empty()).refusal().code(),
				ResultCode.ENTRY_LEAVING.number());
	}

	@Test
	public void takesAccountInPlaceOfKeyAndRejectsUnknownService() {
		configure();
		register(1);
		CallerRequest anonymous = Fixtures.request("/book/x", null);
		Assert.assertEquals(
				this.explainer.explain(anonymous, Optional.of("coop"), Optional.of(SERVICE)).match().account(), "coop");
		Assert.assertEquals(this.explainer.explain(anonymous, Optional.of("none"), Optional.empty()).refusal().code(),
				ResultCode.UNKNOWN_ACCOUNT.number());
		Assert.assertThrows(IllegalArgumentException.class,
				() -> this.explainer.explain(call(), Optional.empty(), Optional.of("other")));
	}

	/** Guards against a report whose size grows with the service. */
	@Test
	public void listsAtMost64Servers() {
		configure();
		register(100);
		WhereReport report = this.explainer.explain(call(), Optional.empty(), Optional.empty());
		Assert.assertEquals(report.servers().size(), 64);
		Assert.assertEquals(report.serverCount(), 100);
		Assert.assertEquals(report.servers().get(0).id(), report.choice().server());
	}

	/**
	 * Guards against an explanation that names another server than a real request gets,
	 * and against one that changes which servers real requests get: real requests run on
	 * two forwarders with the same random numbers, and only one is asked to explain.
	 */
	@Test
	public void agreesWithRealChoicesAndChangesNone() {
		configure();
		register(9);
		ServerSelector asked = selector(this.partition, new Random(5));
		PromptPartition otherPartition = new PromptPartition(this.clock);
		ServerSelector reference = selector(otherPartition, new Random(5));
		Random random = TestSeed.random(43);
		int divided = 0;
		for (int step = 0; step < 2_000; step++) {
			this.clock.advanceMillis(random.nextInt(60));
			this.routing.onConfirmed(new AgeClock(this.clock, this.clock).now());
			change(random);
			Route route = List.of(CHAT, PLAN, BOOK).get(random.nextInt(3));
			CallerRequest request = request(route, random);
			WhereReport report = this.explainer.explain(request, Optional.empty(), Optional.empty());
			PromptRecord askedPrompt = PromptRecord.start(this.partition, SERVICE, route, request);
			PromptRecord otherPrompt = PromptRecord.start(otherPartition, SERVICE, route, request);
			Optional<String> chosen = asked.choose(SERVICE, route, request, (server) -> true).map(BackendServer::id);
			Assert.assertEquals(chosen,
					reference.choose(SERVICE, route, request, (server) -> true).map(BackendServer::id), "step " + step);
			if (request.hasPrompt()) {
				Assert.assertEquals(Optional.ofNullable(report.choice()).map(WhereReport.Choice::server), chosen,
						"step " + step);
			}
			else {
				Assert.assertEquals(report.choice() != null, chosen.isPresent());
			}
			boolean late = route == CHAT && random.nextInt(4) == 0;
			end(askedPrompt, this.partition, request, late);
			end(otherPrompt, otherPartition, request, late);
			divided += report.servers()
				.stream()
				.anyMatch((server) -> server.obstacle().isEmpty() && !server.candidate()) ? 1 : 0;
		}
		Assert.assertTrue(divided > 500, "explanations with divided servers: " + divided);
	}

	private static CallerRequest request(Route route, Random random) {
		if (route == BOOK) {
			return call();
		}
		return prompt(route.pathPrefix() + "x", "p" + random.nextInt(20),
				(route == PLAN) ? 9_000 + random.nextInt(1_000) : 100 + random.nextInt(500));
	}

	private static void end(PromptRecord prompt, PromptPartition played, CallerRequest request, boolean late) {
		if (request.hasPrompt()) {
			prompt.endStream();
		}
		if (late) {
			played.onLatePause(SERVICE, CHAT.name());
		}
		prompt.end();
	}

	private void change(Random random) {
		String id = "i-" + random.nextInt(9);
		this.health.addLoad(id, (this.health.load(id) > 6) ? -4 : 1);
		switch (random.nextInt(8)) {
			case 0 -> this.health.onUnreachable(id);
			case 1 -> this.health.onSuccess(id);
			case 2 -> this.directory.onPause(backend(random.nextInt(9)), 100);
			default -> {
			}
		}
	}

	private ServerSelector selector(PromptPartition promptPartition, Random random) {
		LeastLoadedPlacement leastLoaded = new LeastLoadedPlacement(random);
		return new ServerSelector(this.directory, ServerViews.ofOwnLoad(this.health),
				new AffinityPlacement(4, leastLoaded), promptPartition, "a");
	}

	private void configure() {
		this.routing.onSnapshot(List.of(Fixtures.record("config", "1", 0)));
		this.routing.onConfirmed(new AgeClock(this.clock, this.clock).now());
	}

	private void register(int count) {
		List<KeyedRecord> records = new ArrayList<>();
		IntStream.range(0, count).forEach((index) -> records.add(Fixtures.record("i-" + index, "ready", index)));
		this.directory.onSnapshot(records);
	}

	private static Route stream(String pathPrefix, long targetPauseMillis) {
		return new Route("r" + pathPrefix, Fixtures.HOST, pathPrefix, RequestKind.STREAMING, false, false, 2_000, 300,
				Long.MAX_VALUE, targetPauseMillis, 1, 1, List.of(new WeightedService(SERVICE, 1)));
	}

	private static BackendServer backend(int index) {
		return Fixtures.server("i-" + index, "ready".getBytes(StandardCharsets.UTF_8)).orElseThrow();
	}

	private static WhereReport.Server server(WhereReport report, String id) {
		return report.servers().stream().filter((server) -> server.id().equals(id)).findFirst().orElseThrow();
	}

	private static CallerRequest call() {
		return Fixtures.request("/book/x", Fixtures.KEY);
	}

	private static CallerRequest prompt(String sharedPart, long tokenCount) {
		return prompt("/chat/x", sharedPart, tokenCount);
	}

	private static CallerRequest prompt(String path, String sharedPart, long tokenCount) {
		return new CallerRequest("id-1", Fixtures.HOST, path, OptionalLong.of(2_000), Optional.of(Fixtures.KEY), "m",
				List.of(new PromptPart(sharedPart, tokenCount), new PromptPart("own", 20)), tokenCount + 20, 0,
				Optional.empty());
	}

	private static CallerRequest late() {
		return new CallerRequest("id-1", Fixtures.HOST, "/book/x", OptionalLong.of(10), Optional.of(Fixtures.KEY), "",
				List.of(), 0, 0, Optional.empty());
	}

}
