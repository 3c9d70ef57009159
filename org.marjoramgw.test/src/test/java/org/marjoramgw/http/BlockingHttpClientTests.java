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
 * Tests {@link BlockingHttpClient} against a server behind a proxy that injects faults.
 *
 * @author The marjoramgw authors
 */
public class BlockingHttpClientTests {

	private static final int CONNECTION_COUNT = 6;

	private static final String RECORDS_PATH = "/streams/s/records";

	private HttpFixture http;

	private LogStandin server;

	private Link link;

	private BlockingHttpClient client;

	private String uri;

	@BeforeMethod
	public void start() throws Exception {
		this.http = new HttpFixture();
		this.server = LogStandin.start(this.http.standins(),
				new LogSettings(HttpFixture.ANY_PORT, 1_000, 1_000, 100, 3_600_000));
		this.link = ProxyStandin.start(this.http.standins(), new ProxySettings(HttpFixture.ANY_PORT))
			.addLink("l", this.server.address());
		this.client = this.http.newClient();
		this.uri = "http://" + this.link.address() + RECORDS_PATH;
		this.http.warmUp("http://" + this.server.address() + RECORDS_PATH);
	}

	@AfterMethod
	public void stop() throws Exception {
		this.link.close();
		this.http.close();
	}

	@Test
	public void opensNewConnectionsWhenAllPooledOnesStall() throws Exception {
		openConnections();
		this.link.control(new LinkControl(null, null, true, null, null));
		int failedCalls = 0;
		while (!succeeds()) {
			failedCalls++;
			Assert.assertTrue(failedCalls <= 2, "calls time out on one stalled connection after another");
		}
	}

	@DataProvider
	public Object[][] connectionFaults() {
		return new Object[][] { { LinkControl.of(LinkMode.REFUSE), true },
				{ new LinkControl(null, null, null, 10L, null), false },
				{ new LinkControl(null, null, null, null, 10L), false }, { LinkControl.of(LinkMode.SWALLOW), false } };
	}

	@Test(dataProvider = "connectionFaults")
	public void reportsRefusedOnlyIfNothingWasSent(LinkControl fault, boolean expectedRefused) throws Exception {
		this.link.control(fault);
		HttpCallException ex = Assert.expectThrows(HttpCallException.class,
				() -> this.client.post(this.uri, "{\"records\":[\"a\"]}"));
		Assert.assertEquals(ex.isRefused(), expectedRefused);
	}

	private void openConnections() throws Exception {
		this.server.control(new LogControl(null, null, HttpFixture.TIMEOUT_MILLIS / 4, null));
		ExecutorService executor = Executors.newFixedThreadPool(CONNECTION_COUNT);
		Callable<HttpReply> call = () -> this.client.get(this.uri);
		for (Future<HttpReply> reply : executor.invokeAll(List.of(call, call, call, call, call, call))) {
			Assert.assertTrue(reply.get().isOk());
		}
		executor.shutdown();
		this.server.control(new LogControl(null, null, 0L, null));
	}

	private boolean succeeds() {
		try {
			return this.client.get(this.uri).isOk();
		}
		catch (HttpCallException ex) {
			return false;
		}
	}

}
