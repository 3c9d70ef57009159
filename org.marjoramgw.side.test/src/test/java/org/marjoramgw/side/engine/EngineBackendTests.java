package org.marjoramgw.side.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.marjoramgw.ResultCode;
import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.side.backend.BackendExecution;
import org.marjoramgw.side.backend.BackendRequest;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.standin.engine.EngineControl;
import org.marjoramgw.standin.engine.EngineSettings;
import org.marjoramgw.standin.engine.EngineStandin;
import org.marjoramgw.standin.engine.Execution;
import org.marjoramgw.wire.BackendCall;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Contract tests of {@link EngineBackend} against the engine stand-in.
 *
 * @author The marjoramgw authors
 */
public class EngineBackendTests {

	private static final String PROMPT = "len=12 hello";

	private static final int CRASH_AFTER_TOKENS = 4;

	private static final long POLL_MILLIS = 20;

	private static final int MAX_POLLS = 250;

	private StandinSystem system;

	private EngineStandin engine;

	private EngineBackend backend;

	@BeforeMethod
	public void start() throws Exception {
		this.system = new StandinSystem();
		this.engine = EngineStandin.start(this.system,
				EngineSettings.read(TomlTable.ofText("test", "models = [\"m\"]\nbase_gap_us = 2000")));
		this.backend = new EngineBackend(this.system.actors(), "http://" + this.engine.address());
	}

	@AfterMethod
	public void stop() {
		this.engine.close();
		this.system.close();
	}

	@DataProvider
	public Object[][] responses() {
		return new Object[][] { { "complete", "m", PROMPT, 0, ResultCode.OK, 0, 12 },
				{ "resumed after 5 tokens", "m", PROMPT, 5, ResultCode.OK, 5, 12 },
				{ "unknown model", "other", PROMPT, 0, ResultCode.BACKEND_ERROR, 0, -1 },
				{ "crash in the stream", "m", PROMPT, 0, ResultCode.BACKEND_BROKE_OFF, 0, -1 } };
	}

	@Test(dataProvider = "responses")
	public void streamsResponse(String name, String model, String prompt, int receivedTokens, ResultCode expected,
			int fromToken, int toToken) throws Exception {
		if (expected == ResultCode.BACKEND_BROKE_OFF) {
			this.engine.control(new EngineControl(CRASH_AFTER_TOKENS, null, null));
		}
		ResponseRecorder response = new ResponseRecorder();
		String receivedText = this.engine.responseTo(prompt).text(receivedTokens);
		this.backend.start(request(model, prompt, receivedText), response);
		Assert.assertEquals(response.await(), expected, name);
		if (expected == ResultCode.BACKEND_BROKE_OFF) {
			int tokens = this.engine.responseTo(prompt).countPrefixTokens(response.text());
			Assert.assertTrue(tokens >= 0 && tokens <= CRASH_AFTER_TOKENS,
					name + ": text is a prefix that ends at a token boundary");
		}
		if (toToken >= 0) {
			Assert.assertEquals(receivedText + response.text(), this.engine.responseTo(prompt).text(toToken), name);
		}
	}

	@Test
	public void reportsRefusedConnectionAsUnreachable() throws Exception {
		this.engine.close();
		ResponseRecorder response = new ResponseRecorder();
		this.backend.start(request("m", PROMPT, ""), response);
		Assert.assertEquals(response.await(), ResultCode.BACKEND_UNREACHABLE);
	}

	@Test
	public void cancelsRequestAtEngine() throws Exception {
		ResponseRecorder response = new ResponseRecorder();
		BackendExecution execution = this.backend.start(request("m", "len=5000 long", ""), response);
		response.awaitFirstPart();
		execution.cancel();
		for (int poll = 0; poll < MAX_POLLS && !isCancelled(); poll++) {
			Thread.sleep(POLL_MILLIS);
		}
		Assert.assertTrue(isCancelled());
		Assert.assertNull(response.backendResult(), "the listener is not called after cancel");
	}

	@Test
	public void rejectsBodyThatIsNotJsonObject() throws Exception {
		ResponseRecorder response = new ResponseRecorder();
		BackendCall call = new BackendCall("POST", "/", "application/json", "[1".getBytes(StandardCharsets.UTF_8), "",
				true, "");
		this.backend.start(new BackendRequest("r", "r", 1, call, ""), response);
		Assert.assertEquals(response.await(), ResultCode.MALFORMED_REQUEST);
	}

	private boolean isCancelled() {
		List<Execution> executions = this.engine.executions();
		return executions.size() == 1 && Execution.CANCELLED.equals(executions.get(0).state());
	}

	private static BackendRequest request(String model, String prompt, String continueFrom) {
		String body = "{\"model\":\"" + model + "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
		BackendCall call = new BackendCall("POST", "/", "application/json", body.getBytes(StandardCharsets.UTF_8), "",
				true, "");
		return new BackendRequest("r", "r", 1, call, continueFrom);
	}

}
