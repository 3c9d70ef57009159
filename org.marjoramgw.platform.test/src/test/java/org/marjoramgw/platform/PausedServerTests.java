package org.marjoramgw.platform;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a backend server that refused a request with {@code Retry-After} gets no
 * more requests until then. {@code i-0} refuses, {@code i-1} is sound.
 *
 * @author The marjoramgw authors
 */
public class PausedServerTests {

	private static final String REFUSED = "X-Not-Executed: 1\r\nContent-Length: 0\r\n";

	private static final String TARGET = "POST /book/1";

	@DataProvider
	public Object[][] pauses() {
		return new Object[][] { { "30" }, { " 30.5" }, { "1e300" } };
	}

	@DataProvider
	public Object[][] noPauses() {
		return new Object[][] { { "0" }, { "-5" }, { "NaN" }, { "soon" }, { "Wed, 21 Oct 2065 07:28:00 GMT" } };
	}

	@Test(dataProvider = "pauses")
	public void pausedServerGetsNoRequests(String seconds) throws Exception {
		try (LeavingPair pair = new LeavingPair(refusing(seconds))) {
			pair.callUntilReached(TARGET);
			pair.assertNoneLater(TARGET);
		}
	}

	@Test(dataProvider = "noPauses")
	public void valueWithoutTimeKeepsNoRequestsAway(String seconds) throws Exception {
		try (LeavingPair pair = new LeavingPair(refusing(seconds))) {
			for (int call = 0; call < LeavingPair.LATER_COUNT; call++) {
				pair.fixture().call(TARGET, LeavingPair.KEY, "order");
			}
			Assert.assertTrue(pair.leaving().requests().size() > 1, "server is used again");
		}
	}

	@Test
	public void pausedServerIsUsedAgainAfterItsTime() throws Exception {
		try (LeavingPair pair = new LeavingPair(refusing("0.05"))) {
			pair.callUntilReached(TARGET);
			Thread.sleep(100);
			for (int call = 0; call < LeavingPair.LATER_COUNT; call++) {
				pair.fixture().call(TARGET, LeavingPair.KEY, "order");
			}
			Assert.assertTrue(pair.leaving().requests().size() > 1, "server is used again");
		}
	}

	@Test
	public void callerIsRefusedWithRetryAfterWhileAllServersArePaused() throws Exception {
		try (ScriptedServer server = new ScriptedServer(refusing("30"));
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			fixture.call(TARGET, LeavingPair.KEY, "order");
			String response = fixture.call(TARGET, LeavingPair.KEY, "order");
			Assert.assertTrue(response.startsWith("HTTP/1.1 503 "), response);
			Assert.assertTrue(response.contains("Retry-After: "), response);
			Assert.assertEquals(server.requests().size(), 1);
		}
	}

	private static ScriptedServer.Script refusing(String seconds) {
		return LeavingPair.answer(
				(request) -> ScriptedServer.head("503 Full", request, REFUSED + "Retry-After: " + seconds + "\r\n"));
	}

}
