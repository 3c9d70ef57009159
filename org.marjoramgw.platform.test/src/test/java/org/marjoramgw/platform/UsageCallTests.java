package org.marjoramgw.platform;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.marjoramgw.direct.duty.UsageReports;
import org.marjoramgw.direct.follow.AppendResult;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.http.HttpConnector;
import org.marjoramgw.http.StrayBytes;
import org.marjoramgw.policy.usage.WindowCounts;
import org.marjoramgw.time.PekkoTimers;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the calls of the usage reports: {@link UsageClient} and the conditional append of
 * {@link StoreClient}.
 *
 * @author The marjoramgw authors
 */
public class UsageCallTests {

	private static final long TIMEOUT_SECONDS = 10;

	private static final WindowCounts REPORT = new WindowCounts(353_445_120L,
			new TreeMap<>(Map.of("hule930", 412, "fida11", 7)));

	private final Config config = ConfigFactory.load("direct");

	private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "usage", this.config);

	@AfterClass
	public void terminate() {
		this.system.terminate();
	}

	@DataProvider
	public Object[][] statuses() {
		return new Object[][] { { "200 OK", UsageReports.Answer.ACCEPTED },
				{ "409 Conflict", UsageReports.Answer.TOKEN_REFUSED },
				{ "429 Too Many Requests", UsageReports.Answer.TRY_LATER },
				{ "503 Service Unavailable", UsageReports.Answer.TRY_LATER },
				{ "400 Bad Request", UsageReports.Answer.REJECTED } };
	}

	@Test(dataProvider = "statuses")
	public void reportIsSentWithHolderAndTokenAndItsAnswerUnderstood(String status, UsageReports.Answer expected)
			throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> ScriptedServer.write(connection,
				"HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}"))) {
			Assert.assertEquals(get(client(server).send(REPORT, "edge-1", 7, 5_000)), expected);
			String request = server.requests().get(0);
			Assert.assertTrue(request.startsWith("POST /usage HTTP/1.1\r\n"), request);
			Assert.assertTrue(request.contains("X-Duty-Holder: edge-1\r\n"), request);
			Assert.assertTrue(request.contains("X-Fence-Token: 7\r\n"), request);
			Assert.assertTrue(request.endsWith("{\"window\":353445120,\"counts\":{\"fida11\":7,\"hule930\":412}}"),
					request);
		}
	}

	@Test
	public void callWithoutAnAnswerFailsAtItsTimeoutAndDelaysNoOther() throws Exception {
		try (ScriptedServer silent = new ScriptedServer((request, connection) -> false)) {
			UsageClient client = client(silent);
			List<CompletionStage<UsageReports.Answer>> calls = List.of(client.send(REPORT, "edge-1", 7, 300),
					client.send(REPORT, "edge-1", 7, 300));
			for (CompletionStage<UsageReports.Answer> call : calls) {
				Assert.assertThrows(ExecutionException.class, () -> get(call));
			}
			Assert.assertEquals(silent.requests().size(), 2);
		}
	}

	@Test
	public void conditionalAppendTellsWhetherItWasExecuted() throws Exception {
		List<KeyedRecord> records = List.of(new KeyedRecord("k", Optional.of(new byte[] { 1 }), 0));
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			boolean holds = request.startsWith("POST /-/log-append?topic=keyed.marjoramgw-duties&part=0&at=5 ");
			String body = holds ? "{\"offset\":5,\"end\":6}" : "{\"end\":5}";
			return ScriptedServer.write(connection, "HTTP/1.1 " + (holds ? "200 OK" : "412 Precondition Failed")
					+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
		})) {
			AppendableTopic topic = new StoreClient(this.system, connector(), new PekkoTimers(this.system),
					server.address())
				.topic(StoreClient.DUTIES_TOPIC);
			Assert.assertEquals(get(topic.appendAt(records, 5)), new AppendResult(true, 5, 6));
			Assert.assertEquals(get(topic.appendAt(records, 4)), new AppendResult(false, 0, 5));
		}
	}

	@Test
	public void refusedConditionalAppendFails() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> ScriptedServer.write(connection,
				"HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n"))) {
			AppendableTopic topic = new StoreClient(this.system, connector(), new PekkoTimers(this.system),
					server.address())
				.topic(StoreClient.DUTIES_TOPIC);
			Assert.assertThrows(ExecutionException.class, () -> get(topic.appendAt(List.of(), 5)));
		}
	}

	private UsageClient client(ScriptedServer server) {
		return new UsageClient(this.system, connector(), new PekkoTimers(this.system), server.address());
	}

	private HttpConnector connector() {
		return new HttpConnector(this.system, ClientConnectionSettings.create(this.config), StrayBytes.IGNORED);
	}

	private static <T> T get(CompletionStage<T> stage) throws Exception {
		return stage.toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

}
