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
import org.marjoramgw.http.CallerSettings;
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
 * Tests the HTTP responses to requests that are rejected on arrival, and that none of
 * them reaches a side process.
 *
 * @author The marjoramgw authors
 */
public class CallerRoutesTests {

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final String VALID_CHAT = "{\"model\":\"carob-large\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

	private final HttpClient client = HttpClient.newHttpClient();

	private final ObjectMapper mapper = new ObjectMapper();

	private final Set<String> livePools = new HashSet<>();

	private final Queue<Message> sent = new ConcurrentLinkedQueue<>();

	private final SystemMillisClock clock = new SystemMillisClock();

	private ActorSystem<Void> system;

	private EntryContext entryContext;

	private ResultCounters counters;

	private ServerBinding binding;

	private String bearerKey;

	private Configuration configuration;

	@BeforeClass
	public void start() throws Exception {
		this.system = ActorSystem.create(Behaviors.empty(), "caller-tests");
		Path file = Path.of(System.getProperty("repository.root", ".."), "conf", "rogac.toml");
		this.configuration = new ConfigurationParser().parse("rogac.toml", 1, Files.readString(file));
		this.bearerKey = "key-" + this.configuration.accounts().keySet().iterator().next();
		this.counters = new ResultCounters(new MetricRegistry());
		this.entryContext = newEntryContext(this.configuration);
		this.binding = bind(this.entryContext);
	}

	@AfterClass
	public void stop() {
		this.binding.unbind();
		this.system.terminate();
	}

	@AfterMethod
	public void clearLivePools() {
		Assert.assertTrue(this.sent.isEmpty(), "a refused request reached a side process: " + this.sent);
		this.livePools.clear();
	}

	@DataProvider
	public Object[][] refusals() {
		String authorization = "Bearer " + this.bearerKey;
		String unknownModel = VALID_CHAT.replace("carob-large", "no-such-model");
		String oversized = "x".repeat(this.configuration.limits().bodyBytes() + 1);
		return new Object[][] { { CHAT_PATH, "", "", VALID_CHAT, ResultCode.UNKNOWN_ACCOUNT },
				{ CHAT_PATH, "Bearer nobody", "", VALID_CHAT, ResultCode.UNKNOWN_ACCOUNT },
				{ CHAT_PATH, "Basic " + this.bearerKey, "", VALID_CHAT, ResultCode.UNKNOWN_ACCOUNT },
				{ CHAT_PATH, "Bearer ", "", VALID_CHAT, ResultCode.UNKNOWN_ACCOUNT },
				{ "/v1/services/orders/orders", "Bearer nobody", "", "{}", ResultCode.UNKNOWN_ACCOUNT },
				{ CHAT_PATH, authorization, "no-such-class", VALID_CHAT, ResultCode.UNKNOWN_CLASS },
				{ CHAT_PATH, authorization, "weighbridge-reply", unknownModel, ResultCode.UNKNOWN_MODEL },
				{ CHAT_PATH, authorization, "weighbridge-reply", "{", ResultCode.MALFORMED_REQUEST },
				{ CHAT_PATH, authorization, "weighbridge-reply", "[]", ResultCode.MALFORMED_REQUEST },
				{ CHAT_PATH, authorization, "weighbridge-reply", "{\"model\":1}", ResultCode.MALFORMED_REQUEST },
				{ CHAT_PATH, authorization, "weighbridge-reply", VALID_CHAT.replace("\"hi\"", "7"),
						ResultCode.MALFORMED_REQUEST },
				{ CHAT_PATH, authorization, "weighbridge-reply", oversized, ResultCode.BODY_TOO_LARGE },
				{ "/v1/services/no-such/x", authorization, "stock-lookup", "{}", ResultCode.UNKNOWN_SERVICE },
				{ "/v1/services/assistant/x", authorization, "stock-lookup", "{}", ResultCode.UNKNOWN_SERVICE },
				{ "/v1/nothing", authorization, "", "{}", ResultCode.UNKNOWN_PATH },
				{ "/v1/nothing", "", "", "{}", ResultCode.UNKNOWN_PATH },
				{ "/", "Bearer nobody", "", "{}", ResultCode.UNKNOWN_PATH },
				{ CHAT_PATH, authorization, "weighbridge-reply", VALID_CHAT, ResultCode.NO_BACKEND } };
	}

	@Test(dataProvider = "refusals")
	public void reportsTheResultCodeOfARefusedRequest(String path, String authorization, String requestClass,
			String body, ResultCode expected) throws Exception {
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
	public Object[][] unknownKeys() {
		return new Object[][] { { "" }, { "Bearer nobody" }, { "Bearer " + this.bearerKey + "x" }, { "Bearer o" },
				{ "Bearer t" } };
	}

	@Test(dataProvider = "unknownKeys")
	public void sendsNothingToSideProcessesForAnUnknownKey(String authorization) throws Exception {
		this.configuration.services().values().forEach((service) -> this.livePools.add(service.pool()));
		Assert.assertEquals(post(CHAT_PATH, authorization, "", "", VALID_CHAT).statusCode(), 401);
		Assert.assertEquals(post("/v1/services/orders/orders", authorization, "", "k", "{}").statusCode(), 401);
	}

	@DataProvider
	public Object[][] malformedKeys() {
		return new Object[][] { { "has space" }, { "x".repeat(129) }, { "tab\tinside" } };
	}

	@Test(dataProvider = "malformedKeys")
	public void refusesAMalformedIdempotencyKey(String idempotencyKey) throws Exception {
		HttpResponse<String> response = post("/v1/services/orders/orders", "Bearer " + this.bearerKey, "order-booking",
				idempotencyKey, "{}");
		JsonNode error = this.mapper.readTree(response.body()).get("error");
		Assert.assertEquals(error.get("code").asInt(), ResultCode.MALFORMED_KEY.number(), response.body());
	}

	@Test
	public void refusesARequestWhoseDependencyHasNoBackend() throws Exception {
		String text = Files.readString(Path.of(System.getProperty("repository.root", ".."), "conf", "rogac.toml"))
			.replace("[services.stock]\nkind = \"plain\"\npool = \"order-runners\"",
					"[services.stock]\nkind = \"plain\"\npool = \"stock-runners\"");
		EntryContext splitContext = newEntryContext(new ConfigurationParser().parse("split.toml", 1, text));
		ServerBinding otherBinding = bind(splitContext);
		this.livePools.add("order-runners");
		HttpResponse<String> response = post(otherBinding, "/v1/services/orders/orders", "Bearer " + this.bearerKey,
				"order-booking", "", "{}");
		otherBinding.unbind();
		JsonNode error = this.mapper.readTree(response.body()).get("error");
		Assert.assertEquals(error.get("code").asInt(), ResultCode.DEPENDENCY_DOWN.number(), response.body());
	}

	@Test
	public void refusesRequestsBeforeTheFirstConfigurationAndWhileLeaving() throws Exception {
		EntryContext unconfigured = newEntryContext(null);
		ServerBinding otherBinding = bind(unconfigured);
		HttpResponse<String> before = post(otherBinding, CHAT_PATH, "Bearer " + this.bearerKey, "", "", VALID_CHAT);
		unconfigured.close();
		HttpResponse<String> after = post(otherBinding, CHAT_PATH, "Bearer " + this.bearerKey, "", "", VALID_CHAT);
		otherBinding.unbind();
		Assert.assertTrue(before.body().contains("" + ResultCode.NO_CONFIGURATION.number()), before.body());
		Assert.assertTrue(after.body().contains("" + ResultCode.ENTRY_LEAVING.number()), after.body());
	}

	private EntryContext newEntryContext(Configuration current) {
		HostPort address = new HostPort("127.0.0.1", 0);
		EntrySettings settings = new EntrySettings("e1", "dal-a", address, "t", "o", "", "", 250, 1_000, 1_000, 500,
				1_000, 100, 1_000, 100, 16, CallerSettings.defaults());
		return new EntryContext(settings, this.clock, new FakeSideProcesses(), new OpenRequests(), this.counters,
				new DecisionLog(this.clock, 100), new FixedConfiguration(current), settings.callerLimits().newBudget(),
				TestSeed.random(3));
	}

	private ServerBinding bind(EntryContext context) throws Exception {
		return Http.get(this.system)
			.newServerAt("127.0.0.1", 0)
			.bind(new CallerRoutes(this.system, context).route())
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
	 * Side processes of the live pools; records what is sent to them.
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
