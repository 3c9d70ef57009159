package org.marjoramgw.operator;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.HttpReply;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.trace.Decision;
import org.marjoramgw.trace.DecisionLog;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link OperatorRoutes} over HTTP: access with and without the token, and the
 * responses.
 *
 * @author The marjoramgw authors
 */
public class OperatorRoutesTests {

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final String TOKEN = "operators-token";

	private final ObjectMapper mapper = OperatorJson.newMapper();

	private final DecisionLog decisions = new DecisionLog(new ManualMillisClock(5), 16);

	private final MetricRegistry registry = new MetricRegistry();

	private final FakeProcess process = new FakeProcess();

	private ActorSystem<Void> system;

	private String url;

	@BeforeClass
	public void start() throws Exception {
		this.system = ActorSystem.create(Behaviors.empty(), "operator-tests");
		OperatorRoutes routes = new OperatorRoutes(this.process, this.decisions, this.registry, TOKEN);
		ServerBinding binding = Http.get(this.system)
			.newServerAt("127.0.0.1", 0)
			.bind(routes.route())
			.toCompletableFuture()
			.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		this.url = "http://127.0.0.1:" + binding.localAddress().getPort();
	}

	@AfterClass
	public void stop() {
		this.system.terminate();
	}

	@BeforeMethod
	public void reset() {
		this.process.drained.set(false);
	}

	@DataProvider
	public Object[][] accessCases() {
		return new Object[][] { { "GET", "/healthz", "", 200 }, { "GET", "/healthz", "wrong", 200 },
				{ "GET", "/metrics", "", 200 }, { "GET", "/metrics", "wrong", 200 },
				{ "GET", "/operator/status", "", 401 }, { "GET", "/operator/status", "wrong", 401 },
				{ "GET", "/operator/status", TOKEN + "x", 401 }, { "GET", "/operator/status", TOKEN, 200 },
				{ "GET", "/operator/explain/r1", "", 401 }, { "GET", "/operator/explain/r1", "wrong", 401 },
				{ "GET", "/operator/explain/r1", TOKEN, 200 }, { "POST", "/operator/drain", "", 401 },
				{ "POST", "/operator/drain", "wrong", 401 }, { "POST", "/operator/drain", TOKEN, 202 },
				{ "GET", "/operator/drain", "", 401 }, { "GET", "/operator/drain", TOKEN, 405 },
				{ "GET", "/operator/other", "", 401 }, { "GET", "/operator/other", TOKEN, 404 },
				{ "GET", "/other", "", 404 }, { "GET", "/other", TOKEN, 404 }, { "POST", "/healthz", "", 405 },
				{ "DELETE", "/metrics", "", 405 } };
	}

	@Test(dataProvider = "accessCases")
	public void requiresTheTokenForOperatorRoutes(String method, String path, String token, int status)
			throws Exception {
		Assert.assertEquals(call(method, path, token).status(), status);
		boolean drainAuthorized = "POST".equals(method) && TOKEN.equals(token) && path.endsWith("drain");
		Assert.assertEquals(this.process.drained.get(), drainAuthorized);
	}

	@Test
	public void healthDisclosesOnlyReadiness() throws Exception {
		Assert.assertEquals(call("GET", "/healthz", "").body(), "ok\n");
		Assert.assertEquals(call("GET", "/healthz", TOKEN).body(), "ok\n");
	}

	@Test
	public void countsWrongTokens() throws Exception {
		ResultCounters counters = new ResultCounters(this.registry);
		long before = counters.countOf(ResultCode.BAD_TOKEN);
		call("GET", "/operator/status", "wrong");
		call("POST", "/operator/drain", "");
		call("GET", "/operator/status", TOKEN);
		Assert.assertEquals(counters.countOf(ResultCode.BAD_TOKEN), before + 2);
	}

	@Test
	public void reportsIdentityAndStatus() throws Exception {
		String body = call("GET", "/operator/status", TOKEN).body();
		Assert.assertEquals(this.mapper.readValue(body, ProcessReport.class),
				new ProcessReport(this.process.identity(), this.process.status()));
		Assert.assertTrue(body.contains("\"config_revision\":7"), body);
	}

	@Test
	public void returnsTheDecisionsOfOneRequest() throws Exception {
		this.decisions.add("r2", "refuse", ResultCode.QUEUE_FULL, "class reply-draft");
		this.decisions.add("r3", "grant", null, "");
		String body = call("GET", "/operator/explain/r2", TOKEN).body();
		Assert.assertEquals(List.of(this.mapper.readValue(body, Decision[].class)),
				List.of(new Decision(5, "r2", "refuse", 3001, "class reply-draft")));
	}

	@Test
	public void returnsTheResultCodeForAWrongToken() throws Exception {
		Assert.assertEquals(call("GET", "/operator/status", "wrong").body(), "E6001 wrong or missing token\n");
	}

	@Test
	public void exposesCountersAsMetrics() throws Exception {
		new ResultCounters(this.registry).count(ResultCode.QUEUE_FULL);
		String body = call("GET", "/metrics", "").body();
		Assert.assertTrue(body.contains("\nresults_3001 1.0"), body);
	}

	private HttpReply call(String method, String path, String token) throws Exception {
		BlockingHttpClient client = new BlockingHttpClient(this.system, TIMEOUT_MILLIS, token);
		return switch (method) {
			case "GET" -> client.get(this.url + path);
			case "POST" -> client.post(this.url + path, "{}");
			default -> client.delete(this.url + path);
		};
	}

	private static final class FakeProcess implements ManageableProcess {

		private final AtomicBoolean drained = new AtomicBoolean();

		@Override
		public PeerIdentity identity() {
			return new PeerIdentity("side-1", "side", "dal-a", 3, "model-runners");
		}

		@Override
		public PeerStatus status() {
			return new PeerStatus(7, false, 2, 1, 8);
		}

		@Override
		public void drain() {
			this.drained.set(true);
		}

	}

}
