package org.marjoramgw.platform;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which requests are counted as begun to run.
 *
 * @author The marjoramgw authors
 */
public class UsageCountTests extends EventStreamFixture {

	private static final String ACCOUNT = "coop";

	private static final String REFUSED = "X-Not-Executed: 1\r\nContent-Length: 0\r\n";

	@DataProvider
	public Object[][] answers() {
		String empty = "Content-Length: 0\r\n\r\n";
		String events = STREAM_HEADERS + "\r\n" + chunk(events(1)) + "0\r\n\r\n";
		return new Object[][] { { "POST /book/1", "200 OK\r\n" + empty, 1 },
				{ "POST /book/1", "500 Broken\r\n" + empty, 1 },
				{ "POST /book/1", "503 Full\r\n" + REFUSED + "\r\n", 0 },
				{ "POST /book/1", "421 Misdirected\r\n" + empty, 0 }, { "POST /stream/1", "200 OK\r\n" + events, 1 },
				{ "POST /stream/1", "503 Full\r\n" + REFUSED + "\r\n", 0 },
				{ "POST /stream/1", "400 Bad\r\nContent-Length: 3\r\n\r\nbad", 0 },
				{ "POST /stream/1", "200 OK\r\n" + STREAM_HEADERS + "\r\n0\r\n\r\n", 0 } };
	}

	@Test(dataProvider = "answers")
	public void requestIsCountedIfItsServerHasBegunIt(String target, String answer, int runs) throws Exception {
		String[] parts = answer.split("\r\n", 2);
		String[] head = parts[1].split("\r\n\r\n", 2);
		try (ScriptedServer server = new ScriptedServer((request, connection) -> ScriptedServer.write(connection,
				ScriptedServer.head(parts[0], request, head[0] + "\r\n") + head[1]));
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			fixture.call(target, KEY, "x");
			Assert.assertEquals(fixture.runCount(ACCOUNT), runs);
		}
	}

	@Test
	public void eachRunOfARepeatableRequestIsCounted() throws Exception {
		ScriptedServer.Script broken = (request, connection) -> {
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(broken);
				ScriptedServer second = new ScriptedServer(broken);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			fixture.call("GET /read/1", KEY, "");
			Assert.assertEquals(first.requests().size() + second.requests().size(), 2);
			Assert.assertEquals(fixture.runCount(ACCOUNT), 2);
		}
	}

	@Test
	public void resumedStreamIsCountedOnce() throws Exception {
		ScriptedServer.Script script = breakingOffFirst((next) -> chunk(event(1)), (next) -> chunk(events(next)));
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			assertComplete(fixture.call("POST /resume/1", KEY, "prompt"), "resumed");
			Assert.assertEquals(fixture.runCount(ACCOUNT), 1);
		}
	}

}
