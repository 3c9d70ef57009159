package org.marjoramgw.entry.caller;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.entry.EntrySettings;
import org.marjoramgw.entry.dispatch.OpenRequests;
import org.marjoramgw.entry.dispatch.SideProcesses;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.policy.candidate.Candidate;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.trace.DecisionLog;
import org.marjoramgw.wire.Message;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests what callers are told about requests that are refused on arrival.
 *
 * @author The marjoramgw authors
 */
public class CallerRoutesTests {

	private static final String CHAT = "/v1/chat/completions";

	private static final String GOOD = "{\"model\":\"carob-large\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

	private final HttpClient client = HttpClient.newHttpClient();

	private final ObjectMapper mapper = new ObjectMapper();

	private final Set<String> livePools = new HashSet<>();

	private final Queue<Message> sent = new ConcurrentLinkedQueue<>();

	private final SystemMillisClock clock = new SystemMillisClock();

	private ActorSystem<Void> system;

	private EntryContext parts;

	private ResultCounters counters;

	private ServerBinding binding;

	private String key;

	private Configuration configuration;

	@BeforeClass
	public void start() throws Exception {
		this.system = ActorSystem.create(Behaviors.empty(), "caller-tests");
		Path file = Path.of(System.getProperty("repository.root", ".."), "conf", "rogac.toml");
		this.configuration = new ConfigurationParser().parse("rogac.toml", 1, Files.readString(file));
		this.key = "key-" + this.configuration.accounts().keySet().iterator().next();
		this.counters = new ResultCounters(new MetricRegistry());
		this.parts = newParts(this.configuration);
		this.binding = bind(this.parts);
	}

	@AfterClass
	public void stop() {
		this.binding.unbind();
		this.system.terminate();
	}

	@AfterMethod
	public void clearPools() {
		Assert.assertTrue(this.sent.isEmpty(), "a refused request reached a side process: " + this.sent);
		this.livePools.clear();
	}

	@DataProvider
	public Object[][] refusals() {
		String known = "Bearer " + this.key;
		String unknownModel = GOOD.replace("carob-large", "no-such-model");
		String large = "x".repeat(this.configuration.limits().bodyBytes() + 1);
		return new Object[][] { { CHAT, "", "", GOOD, ResultCode.UNKNOWN_ACCOUNT },
				{ CHAT, "Bearer nobody", "", GOOD, ResultCode.UNKNOWN_ACCOUNT },
				{ CHAT, "Basic " + this.key, "", GOOD, ResultCode.UNKNOWN_ACCOUNT },
				{ CHAT, "Bearer ", "", GOOD, ResultCode.UNKNOWN_ACCOUNT },
				{ "/v1/services/orders/orders", "Bearer nobody", "", "{}", ResultCode.UNKNOWN_ACCOUNT },
				{ CHAT, known, "no-such-class", GOOD, ResultCode.UNKNOWN_CLASS },
				{ CHAT, known, "weighbridge-reply", unknownModel, ResultCode.UNKNOWN_MODEL },
				{ CHAT, known, "weighbridge-reply", "{", ResultCode.MALFORMED_REQUEST },
				{ CHAT, known, "weighbridge-reply", "[]", ResultCode.MALFORMED_REQUEST },
				{ CHAT, known, "weighbridge-reply", "{\"model\":1}", ResultCode.MALFORMED_REQUEST },
				{ CHAT, known, "weighbridge-reply", GOOD.replace("\"hi\"", "7"), ResultCode.MALFORMED_REQUEST },
				{ CHAT, known, "weighbridge-reply", large, ResultCode.BODY_TOO_LARGE },
				{ "/v1/services/no-such/x", known, "stock-lookup", "{}", ResultCode.UNKNOWN_SERVICE },
				{ "/v1/services/assistant/x", known, "stock-lookup", "{}", ResultCode.UNKNOWN_SERVICE },
				{ "/v1/nothing", known, "", "{}", ResultCode.UNKNOWN_PATH },
				{ "/v1/nothing", "", "", "{}", ResultCode.UNKNOWN_PATH },
				{ "/", "Bearer nobody", "", "{}", ResultCode.UNKNOWN_PATH },
				{ CHAT, known, "weighbridge-reply", GOOD, ResultCode.NO_BACKEND } };
	}

	@Test(dataProvider = "refusals")
	public void tellsWhyARequestIsRefused(String path, String authorization, String requestClass, String body,
			ResultCode expected) throws Exception {
		long before = this.counters.countOf(expected);
		HttpResponse<String> response = post(path, authorization, requestClass, "", body);
		JsonNode error = this.mapper.readTree(response.body()).get("error");
		Assert.assertEquals(error.get("code").asInt(), expected.number(), response.body());
		Assert.assertEquals(error.get("outcome").asText(), "not_run");
		Assert.assertEquals(response.statusCode(), expected.httpStatus());
		Assert.assertEquals(response.headers().firstValue("X-Request-Id").orElseThrow(),
				error.get("request_id").asText());
		Assert.assertEquals(response.headers().firstValue("Retry-After").isPresent(), expected.httpStatus() == 503);
		Assert.assertEquals(this.counters.countOf(expected), before + 1);
	}

	@DataProvider
	public Object[][] strangers() {
		return new Object[][] { { "" }, { "Bearer nobody" }, { "Bearer " + this.key + "x" }, { "Bearer o" },
				{ "Bearer t" } };
	}

	@Test(dataProvider = "strangers")
	public void sendsNothingForAStranger(String authorization) throws Exception {
		this.configuration.services().values().forEach((service) -> this.livePools.add(service.pool()));
		Assert.assertEquals(post(CHAT, authorization, "", "", GOOD).statusCode(), 401);
		Assert.assertEquals(post("/v1/services/orders/orders", authorization, "", "k", "{}").statusCode(), 401);
	}

	@DataProvider
	public Object[][] keys() {
		return new Object[][] { { "has space" }, { "x".repeat(129) }, { "tab\tinside" } };
	}

	@Test(dataProvider = "keys")
	public void refusesAMalformedIdempotencyKey(String idempotencyKey) throws Exception {
		HttpResponse<String> response = post("/v1/services/orders/orders", "Bearer " + this.key, "order-booking",
				idempotencyKey, "{}");
		JsonNode error = this.mapper.readTree(response.body()).get("error");
		Assert.assertEquals(error.get("code").asInt(), ResultCode.MALFORMED_KEY.number(), response.body());
	}

	@Test
	public void refusesWhatDependsOnAServiceWithoutBackends() throws Exception {
		String text = Files.readString(Path.of(System.getProperty("repository.root", ".."), "conf", "rogac.toml"))
			.replace("[services.stock]\nkind = \"plain\"\npool = \"order-runners\"",
					"[services.stock]\nkind = \"plain\"\npool = \"stock-runners\"");
		EntryContext split = newParts(new ConfigurationParser().parse("split.toml", 1, text));
		ServerBinding other = bind(split);
		this.livePools.add("order-runners");
		HttpResponse<String> response = post(other, "/v1/services/orders/orders", "Bearer " + this.key, "order-booking",
				"", "{}");
		other.unbind();
		JsonNode error = this.mapper.readTree(response.body()).get("error");
		Assert.assertEquals(error.get("code").asInt(), ResultCode.DEPENDENCY_DOWN.number(), response.body());
	}

	@Test
	public void refusesBeforeTheFirstConfigurationAndWhileLeaving() throws Exception {
		EntryContext empty = newParts(null);
		ServerBinding other = bind(empty);
		HttpResponse<String> before = post(other, CHAT, "Bearer " + this.key, "", "", GOOD);
		empty.close();
		HttpResponse<String> after = post(other, CHAT, "Bearer " + this.key, "", "", GOOD);
		other.unbind();
		Assert.assertTrue(before.body().contains("" + ResultCode.NO_CONFIGURATION.number()), before.body());
		Assert.assertTrue(after.body().contains("" + ResultCode.ENTRY_LEAVING.number()), after.body());
	}

	private EntryContext newParts(Configuration current) {
		HostPort address = new HostPort("127.0.0.1", 0);
		EntrySettings settings = new EntrySettings("e1", "dal-a", address, "t", "o", "", "", 250, 1_000, 1_000, 500,
				1_000, 100, 1_000, 100, 16);
		return new EntryContext(settings, this.clock, new FakeSideProcesses(), new OpenRequests(), this.counters,
				new DecisionLog(this.clock, 100), new FixedConfiguration(current), TestSeed.random(3));
	}

	private ServerBinding bind(EntryContext entry) throws Exception {
		return Http.get(this.system)
			.newServerAt("127.0.0.1", 0)
			.bind(new CallerRoutes(this.system, entry).route())
			.toCompletableFuture()
			.get();
	}

	private HttpResponse<String> post(String path, String authorization, String requestClass, String idempotencyKey,
			String body) throws Exception {
		return post(this.binding, path, authorization, requestClass, idempotencyKey, body);
	}

	private HttpResponse<String> post(ServerBinding server, String path, String authorization, String requestClass,
			String idempotencyKey, String body) throws Exception {
		URI uri = URI.create("http://127.0.0.1:" + server.localAddress().getPort() + path);
		HttpRequest.Builder request = HttpRequest.newBuilder(uri)
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8));
		addHeader(request, "Authorization", authorization);
		addHeader(request, "X-Request-Class", requestClass);
		addHeader(request, "Idempotency-Key", idempotencyKey);
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private static void addHeader(HttpRequest.Builder request, String name, String value) {
		if (!value.isEmpty()) {
			request.header(name, value);
		}
	}

	/**
	 * Pools that are live or not; what is sent to them is kept.
	 */
	private final class FakeSideProcesses implements SideProcesses {

		@Override
		public List<Candidate> live(String pool) {
			boolean live = CallerRoutesTests.this.livePools.contains(pool);
			return live ? List.of(new Candidate("s1", "dal-a", 0, 0, 1)) : List.of();
		}

		@Override
		public void send(String sideId, Message message) {
			CallerRoutesTests.this.sent.add(message);
		}

		@Override
		public OptionalLong incarnation(String sideId) {
			return OptionalLong.empty();
		}

	}

}
