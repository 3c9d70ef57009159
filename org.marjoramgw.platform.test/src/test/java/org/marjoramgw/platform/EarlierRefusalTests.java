package org.marjoramgw.platform;

import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a refusal which answers an earlier request of a connection is no promise for
 * a later one.
 *
 * @author The marjoramgw authors
 */
public class EarlierRefusalTests {

	private static final String KEY = "Authorization: Token key-1\r\n";

	@DataProvider
	public Object[][] refusalsOfEarlierRequests() {
		String end = "Content-Length: 0\r\n\r\n";
		return new Object[][] { { "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + end },
				{ "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: r0\r\n" + end },
				{ "HTTP/1.1 429 Busy\r\nX-Not-Executed: 1\r\n" + end },
				{ "HTTP/1.1 421 Misdirected Request\r\n" + end },
				{ "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: r0\r\n" + end } };
	}

	@Test(dataProvider = "refusalsOfEarlierRequests")
	public void refusalOfAnEarlierRequestIsNoPromiseForALaterOne(String refusal) throws Exception {
		Set<Socket> used = ConcurrentHashMap.newKeySet();
		try (ScriptedServer server = new ScriptedServer(refusingOnReuse(used, refusal));
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			Assert.assertTrue(fixture.call("GET /read/1", KEY, "").endsWith("good"));
			String response = fixture.call("GET /read/1", KEY + "X-Request-Id: r2\r\n", "");
			Assert.assertEquals(server.requests().size(), 2);
			Assert.assertEquals(used.size(), 1, "the connection is kept");
			Assert.assertTrue(response.startsWith("HTTP/1.1 502 "), response);
		}
	}

	@Test(dataProvider = "refusalsOfEarlierRequests")
	public void requestThatMustNotRunTwiceNeverMeetsAnEarlierRefusal(String refusal) throws Exception {
		Set<Socket> used = ConcurrentHashMap.newKeySet();
		try (ScriptedServer server = new ScriptedServer(refusingOnReuse(used, refusal));
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			Assert.assertTrue(fixture.call("GET /read/1", KEY, "").endsWith("good"));
			for (int call = 0; call < 3; call++) {
				String id = "X-Request-Id: b" + call + "\r\n";
				Assert.assertTrue(fixture.call("POST /book/1", KEY + id, "order").endsWith("good"));
			}
		}
	}

	/**
	 * Returns a script that answers the first request of each connection and repeats a
	 * refusal in place of all later answers.
	 * @param used receives the connections
	 * @param refusal the refusal
	 * @return the script
	 */
	private static ScriptedServer.Script refusingOnReuse(Set<Socket> used, String refusal) {
		return (request, connection) -> ScriptedServer.write(connection, used.add(connection)
				? ScriptedServer.head("200 OK", request, "Keep-Alive: timeout=5\r\nContent-Length: 4\r\n") + "good"
				: refusal);
	}

}
