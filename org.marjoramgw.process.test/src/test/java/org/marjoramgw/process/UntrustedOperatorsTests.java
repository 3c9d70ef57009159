package org.marjoramgw.process;

import java.net.http.HttpRequest;

import org.marjoramgw.rig.ManagedProcess;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the operators' endpoint of a side process survives callers that don't
 * respect the limits.
 *
 * @author The marjoramgw authors
 */
@Test(groups = AbstractUntrustedCallersTests.ALONE)
public class UntrustedOperatorsTests extends AbstractUntrustedCallersTests {

	private static final String POST = "POST /operator/drain";

	@Override
	protected ManagedProcess process() {
		return fixture().deployment().side("orders-1");
	}

	@Override
	protected HttpRequest.Builder ordinaryRequest() {
		return HttpRequest.newBuilder(uri("/metrics")).GET();
	}

	/**
	 * Lists heads and bodies that don't end.
	 * @return scripts
	 * @throws Exception if the options of the JVM can't be read
	 */
	@DataProvider
	public Object[][] endless() throws Exception {
		long endless = endlessBytes();
		String length = wholeHead(POST, "Content-Length: " + MAX_BODY_BYTES);
		String chunked = wholeHead(POST, "Transfer-Encoding: chunked");
		return new Object[][] { { CallerScript.of("line without end", head(POST, "X-Long: "), "x", endless) },
				{ CallerScript.of("lines without end", head(POST) + "\r\n", "X-Line: x\r\n", endless) },
				{ CallerScript.of("empty lines without end", "\r\n", "\r\n", endless) },
				{ CallerScript.of("body with a length", length, "x", MAX_BODY_BYTES - 1) },
				{ CallerScript.of("chunks of one byte", chunked, "1\r\nx\r\n", 6 * 32_768 - 3) },
				{ CallerScript.of("trailers without end", chunked + "0\r\n", "X-Line: x\r\n", endless) } };
	}

	@Test(dataProvider = "endless")
	public void headsAndBodiesWithoutEnd(CallerScript script) throws Exception {
		survives(script, bodyConnections());
	}

	/**
	 * Lists connections that need a descriptor each and are not used.
	 * @return scripts
	 */
	@DataProvider
	public Object[][] connections() {
		return new Object[][] { { CallerScript.of("silent", "", "x", 0) },
				{ CallerScript.of("idle after a request", wholeHead("GET /healthz"), "x", 0) },
				{ CallerScript.of("half a head", head(POST), "x", 0) } };
	}

	@Test(dataProvider = "connections")
	public void moreConnectionsThanDescriptors(CallerScript script) throws Exception {
		survives(script, MANY_CONNECTIONS);
	}

	@Test
	public void answersThatAreNotRead() throws Exception {
		String requests = wholeHead("GET /metrics");
		survives(CallerScript.of("unread metrics", "", requests, endlessBytes()).withoutReading(), bodyConnections());
	}

}
