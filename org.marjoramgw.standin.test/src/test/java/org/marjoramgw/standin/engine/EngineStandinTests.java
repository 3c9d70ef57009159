package org.marjoramgw.standin.engine;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.StandinClient;
import org.marjoramgw.standin.StandinSystem;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the contract of {@link EngineStandin}.
 *
 * @author The marjoramgw authors
 */
public class EngineStandinTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");

	private StandinSystem system;

	@BeforeClass
	public void start() {
		this.system = new StandinSystem();
	}

	@AfterClass
	public void stop() {
		this.system.close();
	}

	@Test
	public void streamsTheResponseToThePrompt() throws Exception {
		try (EngineStandin engine = start("")) {
			String body = client(engine).send("POST", "/v1/chat/completions", chat("r", "len=7 hello", "")).body();
			Assert.assertEquals(contentOf(body), engine.responseTo("len=7 hello").text(7));
			Assert.assertTrue(body.endsWith("data: [DONE]\n\n"), body);
		}
	}

	@Test
	public void continuesAfterTheReceivedPrefix() throws Exception {
		try (EngineStandin engine = start("")) {
			ResponseText response = engine.responseTo("len=9 hello");
			String extra = ",\"continue_from\":\"" + response.text(4) + "\"";
			String body = client(engine).send("POST", "/v1/chat/completions", chat("r", "len=9 hello", extra)).body();
			Assert.assertEquals(response.text(4) + contentOf(body), response.text(9));
			Assert.assertEquals(engine.executions().get(0).continueFromTokens(), 4);
			HttpResponse<String> mismatch = client(engine).send("POST", "/v1/chat/completions",
					chat("r", "len=9 other", extra));
			Assert.assertEquals(mismatch.statusCode(), 400);
		}
	}

	@Test
	public void cancelReportsWhetherTheRequestStarted() throws Exception {
		try (EngineStandin engine = start("max_batch_count = 1")) {
			StandinClient client = client(engine);
			CompletableFuture<String> first = inBackground(client, chat("first", "len=5000 a", ""));
			waitFor(() -> engine.batch().load().running() == 1);
			CompletableFuture<String> second = inBackground(client, chat("second", "len=5 b", ""));
			waitFor(() -> engine.batch().load().waiting() == 1);
			Assert.assertFalse(client.sendForJson("DELETE", "/v1/requests/second", "").get("started").asBoolean());
			Assert.assertTrue(client.sendForJson("DELETE", "/v1/requests/first", "").get("started").asBoolean());
			Assert.assertEquals(client.send("DELETE", "/v1/requests/third", "").statusCode(), 404);
			first.join();
			second.join();
			Assert.assertEquals(engine.executions().stream().map(Execution::requestId).toList(), List.of("first"));
		}
	}

	@Test
	public void startsTheHighestTierFirst() throws Exception {
		try (EngineStandin engine = start("max_batch_count = 1")) {
			StandinClient client = client(engine);
			CompletableFuture<String> blocker = inBackground(client, chat("blocker", "len=30 a", ""));
			waitFor(() -> engine.batch().load().running() == 1);
			CompletableFuture<String> low = inBackground(client, chat("low", "len=1 b", ",\"priority\":4"));
			waitFor(() -> engine.batch().load().waiting() == 1);
			CompletableFuture<String> high = inBackground(client, chat("high", "len=1 c", ",\"priority\":1"));
			CompletableFuture.allOf(blocker, low, high).join();
			Assert.assertEquals(engine.executions().stream().map(Execution::requestId).toList(),
					List.of("blocker", "high", "low"));
		}
	}

	@Test
	public void cachedPrefixShortensPrefill() throws Exception {
		try (EngineStandin engine = start("")) {
			String prompt = "len=1 " + "contract ".repeat(60);
			client(engine).send("POST", "/v1/chat/completions", chat("cold", prompt, ""));
			client(engine).send("POST", "/v1/chat/completions", chat("warm", prompt, ""));
			List<Execution> executions = engine.executions();
			Assert.assertTrue(executions.get(1).prefillTokens() < executions.get(0).prefillTokens() / 2,
					executions.toString());
		}
	}

	@Test
	public void crashAbortsStreamsAndRefusesConnections() throws Exception {
		try (EngineStandin engine = start("")) {
			StandinClient client = client(engine);
			engine.control(new EngineControl(5, null, null));
			Assert.assertThrows(Exception.class,
					() -> client.send("POST", "/v1/chat/completions", chat("r", "len=50 a", "")));
			waitFor(() -> isRefused(client));
			new StandinClient(engine.controlAddress(), TIMEOUT_MILLIS).send("PUT", "/control",
					"{\"crash_after_tokens\":0}");
			Assert.assertEquals(client.send("GET", "/load", "").statusCode(), 200);
			Assert.assertEquals(engine.executions().get(0).state(), Execution.CRASHED);
			Assert.assertEquals(engine.executions().get(0).generatedTokens(), 5);
		}
	}

	@DataProvider
	public Object[][] orders() {
		return new Object[][] { { true, 5, 409, 7 }, { true, 7, 200, 7 }, { true, 9, 200, 9 }, { false, 5, 200, 7 } };
	}

	@Test(dataProvider = "orders")
	public void checksOrIgnoresFencingNumbers(boolean checksFencing, int fencing, int status, int highestFencing)
			throws Exception {
		try (EngineStandin engine = start("models = [\"m\"]\nchecks_fencing = " + checksFencing)) {
			StandinClient client = client(engine);
			client.send("POST", "/orders", "{\"action\":\"load_model\",\"model\":\"n\",\"fencing\":7}");
			String order = "{\"action\":\"unload_model\",\"model\":\"m\",\"fencing\":" + fencing + "}";
			Assert.assertEquals(client.send("POST", "/orders", order).statusCode(), status);
			JsonNode state = client.sendForJson("GET", "/state", "");
			Assert.assertEquals(state.get("fencing").asInt(), highestFencing);
			Assert.assertEquals(state.get("models").size(), (status == 200) ? 1 : 2);
		}
	}

	private EngineStandin start(String settings) throws Exception {
		return EngineStandin.start(this.system, EngineSettings.read(TomlTable.ofText("engine", settings)));
	}

	private static StandinClient client(EngineStandin engine) {
		return new StandinClient(engine.address(), TIMEOUT_MILLIS);
	}

	private static String chat(String id, String prompt, String extra) {
		return "{\"model\":\"m\",\"stream\":true,\"request_id\":\"" + id
				+ "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]" + extra + "}";
	}

	private static CompletableFuture<String> inBackground(StandinClient client, String body) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return client.send("POST", "/v1/chat/completions", body).body();
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private static boolean isRefused(StandinClient client) {
		try {
			client.send("GET", "/load", "");
			return false;
		}
		catch (Exception ex) {
			return ex instanceof java.net.ConnectException;
		}
	}

	private static String contentOf(String body) {
		StringBuilder text = new StringBuilder();
		Matcher matcher = CONTENT.matcher(body);
		while (matcher.find()) {
			text.append(matcher.group(1));
		}
		return text.toString();
	}

	private static void waitFor(BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.nanoTime() < deadline, "condition not met in time");
			Thread.sleep(5);
		}
	}

}
