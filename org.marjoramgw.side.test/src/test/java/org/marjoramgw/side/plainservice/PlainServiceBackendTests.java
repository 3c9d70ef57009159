package org.marjoramgw.side.plainservice;

import java.nio.charset.StandardCharsets;

import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;
import org.marjoramgw.side.backend.BackendRequest;
import org.marjoramgw.side.engine.ResponseRecorder;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.standin.plainservice.PlainControl;
import org.marjoramgw.standin.plainservice.PlainSettings;
import org.marjoramgw.standin.plainservice.PlainStandin;
import org.marjoramgw.wire.BackendCall;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Contract tests of {@link PlainServiceBackend} against the plain service stand-in.
 *
 * @author The marjoramgw authors
 */
public class PlainServiceBackendTests {

	private static final int MAX_BODY_BYTES = 1_024;

	private StandinSystem system;

	private PlainStandin service;

	@BeforeMethod
	public void start() {
		this.system = new StandinSystem();
		this.service = PlainStandin.start(this.system, new PlainSettings(new HostPort("127.0.0.1", 0), 1, 100));
	}

	@AfterMethod
	public void stop() {
		this.service.close();
		this.system.close();
	}

	@DataProvider
	public Object[][] responses() {
		return new Object[][] { { "complete", 200, false, MAX_BODY_BYTES, ResultCode.OK, 1 },
				{ "client error from the service", 404, false, MAX_BODY_BYTES, ResultCode.OK, 1 },
				{ "server error from the service", 500, false, MAX_BODY_BYTES, ResultCode.BACKEND_ERROR, 1 },
				{ "connection broken after the run", 200, true, MAX_BODY_BYTES, ResultCode.BACKEND_BROKE_OFF, 1 },
				{ "response over the size limit", 200, false, 1, ResultCode.ANSWER_TOO_LARGE, 1 } };
	}

	@Test(dataProvider = "responses")
	public void reportsResult(String name, int status, boolean breakAfterRun, int maxBodyBytes, ResultCode expected,
			int executions) throws Exception {
		this.service.control(new PlainControl(null, status, breakAfterRun));
		ResponseRecorder response = start(maxBodyBytes);
		Assert.assertEquals(response.await(), expected, name);
		Assert.assertEquals(this.service.executions().size(), executions, name);
		Assert.assertEquals(this.service.executions().get(0).path(), "/orders", name);
		if (response.backendResult() != null) {
			Assert.assertEquals(response.backendResult().httpStatus(), status, name);
		}
	}

	@Test
	public void reportsRefusedConnectionAsUnreachable() throws Exception {
		this.service.close();
		Assert.assertEquals(start(MAX_BODY_BYTES).await(), ResultCode.BACKEND_UNREACHABLE);
	}

	private ResponseRecorder start(int maxBodyBytes) {
		PlainServiceBackend backend = new PlainServiceBackend(this.system.actors(), "http://" + this.service.address(),
				5_000, maxBodyBytes);
		BackendCall call = new BackendCall("POST", "/orders", "application/json", "{}".getBytes(StandardCharsets.UTF_8),
				"", false, "");
		ResponseRecorder response = new ResponseRecorder();
		backend.start(new BackendRequest("r", "r", 1, call, ""), response);
		return response;
	}

}
