package org.marjoramgw.http;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.standin.log.LogControl;
import org.marjoramgw.standin.log.LogSettings;
import org.marjoramgw.standin.log.LogStandin;
import org.marjoramgw.standin.proxy.Link;
import org.marjoramgw.standin.proxy.LinkControl;
import org.marjoramgw.standin.proxy.LinkMode;
import org.marjoramgw.standin.proxy.ProxySettings;
import org.marjoramgw.standin.proxy.ProxyStandin;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link HttpCaller} against a server behind the fault proxy.
 *
 * @author The marjoramgw authors
 */
public class HttpCallerTests {

	private static final int CONNECTIONS = 6;

	private static final String RECORDS_PATH = "/streams/s/records";

	private HttpFixture http;

	private LogStandin server;

	private Link link;

	private HttpCaller caller;

	private String uri;

	@BeforeMethod
	public void start() throws Exception {
		this.http = new HttpFixture();
		this.server = LogStandin.start(this.http.standins(),
				new LogSettings(HttpFixture.ANY_PORT, 1_000, 1_000, 100, 3_600_000));
		this.link = ProxyStandin.start(this.http.standins(), new ProxySettings(HttpFixture.ANY_PORT))
			.addLink("l", this.server.address());
		this.caller = this.http.newCaller();
		this.uri = "http://" + this.link.address() + RECORDS_PATH;
		this.http.warmUp("http://" + this.server.address() + RECORDS_PATH);
	}

	@AfterMethod
	public void stop() throws Exception {
		this.link.close();
		this.http.close();
	}

	@Test
	public void goesOnOverNewConnectionsWhenAllOpenOnesGoSilent() throws Exception {
		openConnections();
		this.link.control(new LinkControl(null, null, true, null, null));
		int failedCalls = 0;
		while (!succeeds()) {
			failedCalls++;
			Assert.assertTrue(failedCalls <= 2, "calls wait for silent connections one after the other");
		}
	}

	@DataProvider
	public Object[][] breaks() {
		return new Object[][] { { LinkControl.of(LinkMode.REFUSE), true },
				{ new LinkControl(null, null, null, 10L, null), false },
				{ new LinkControl(null, null, null, null, 10L), false }, { LinkControl.of(LinkMode.SWALLOW), false } };
	}

	@Test(dataProvider = "breaks")
	public void saysRefusedOnlyIfNothingWasSent(LinkControl fault, boolean refused) throws Exception {
		this.link.control(fault);
		HttpCallException ex = Assert.expectThrows(HttpCallException.class,
				() -> this.caller.post(this.uri, "{\"records\":[\"a\"]}"));
		Assert.assertEquals(ex.isRefused(), refused);
	}

	private void openConnections() throws Exception {
		this.server.control(new LogControl(null, null, HttpFixture.TIMEOUT_MILLIS / 4, null));
		ExecutorService threads = Executors.newFixedThreadPool(CONNECTIONS);
		Callable<HttpReply> call = () -> this.caller.get(this.uri);
		for (Future<HttpReply> reply : threads.invokeAll(List.of(call, call, call, call, call, call))) {
			Assert.assertTrue(reply.get().isOk());
		}
		threads.shutdown();
		this.server.control(new LogControl(null, null, 0L, null));
	}

	private boolean succeeds() {
		try {
			return this.caller.get(this.uri).isOk();
		}
		catch (HttpCallException ex) {
			return false;
		}
	}

}
