package org.marjoramgw.platform;

import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a response whose length isn't certain, or whose head has a line that is no
 * field, doesn't reach a caller.
 *
 * @author The marjoramgw authors
 */
public class SpoiltHeadTests {

	private static final String KEY = "Authorization: Token key-1\r\n";

	private static final String BODY = "id: 1\ndata: good\n\n";

	private static final String CHUNKS = Integer.toHexString(BODY.length()) + "\r\n" + BODY + "\r\n0\r\n\r\n";

	private static final String[] TARGETS = { "POST /book/1", "GET /read/1", "POST /stream/1", "POST /resume/1" };

	/**
	 * Lists spoilt header lines and the bodies behind their heads.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] heads() {
		List<Object[]> rows = new ArrayList<>();
		int length = BODY.length();
		for (String line : new String[] { "Content-Length:", "Content-Length: ", "Content-Length: 1 8",
				"Content-Length: +" + length, "Content-Length: -" + length, "Content-Length: " + length + ";",
				"Content-Length: 0x12", "Content-Length: " + length + ", " + length, "Content-Length: 1\u00008",
				"Content-Length: 99999999999999999999", "Content-Length : " + length, "Content-Length\t: " + length,
				"Content-Length " + length, "Content-Length: " + length + "\r\nContent-Length: " + length,
				"Content-Length: " + length + "\r\nContent-Length: 4",
				"Content-Length: " + length + "\r\nTransfer-Encoding: chunked", "Content-Length: 1\r\n 8",
				"Content-Length: " + length + "\r\nno field", "Content-Length: " + length + "\r\n: no name",
				"Content-Length: " + length + "\r\nX Y: z", "Content-Length: " + length + "\r\nX\u0001: z",
				"Content-Length: " + length + "\r\nX: a\rb", "Content-Length: " + length + "\r\nX(: z" }) {
			rows.add(new Object[] { line, BODY });
		}
		for (String line : new String[] { "Transfer-Encoding:", "Transfer-Encoding: chunked;q=1",
				"Transfer-Encoding: chunked, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: chunke",
				"Transfer-Encoding : chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
				"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked\r\nno field" }) {
			rows.add(new Object[] { line, CHUNKS });
		}
		for (String chunks : new String[] { "1 2\r\n" + BODY + "\r\n0\r\n\r\n", "+12\r\n" + BODY + "\r\n0\r\n\r\n",
				"12\r\n" + BODY + "0\r\n\r\n" }) {
			rows.add(new Object[] { "Transfer-Encoding: chunked", chunks });
		}
		return rows.toArray(new Object[0][]);
	}

	/**
	 * Guards against a body that isn't the server's in a response that looks complete.
	 */
	@Test(dataProvider = "heads")
	public void responseWithASpoiltHeadIsNoAnswer(String line, String body) throws Exception {
		for (String type : new String[] { "", "Content-Type: text/event-stream\r\n" }) {
			for (boolean close : new boolean[] { false, true }) {
				try (ScriptedServer server = new ScriptedServer((request, connection) -> {
					ScriptedServer.write(connection,
							ScriptedServer.head("200 OK", request, type + line + "\r\n") + body);
					if (close) {
						connection.close();
					}
					return !close;
				}); ForwardingFixture fixture = new ForwardingFixture(server)) {
					for (String target : TARGETS) {
						String response = fixture.call(target, KEY, "");
						Assert.assertFalse(isComplete(response), target + " close=" + close + ": " + response);
					}
				}
			}
		}
	}

	/** Guards against sound heads that are refused. */
	@Test
	public void soundHeadsAreAnswered() throws Exception {
		for (String line : new String[] { "Content-Length: " + BODY.length(), "content-length:" + BODY.length() + " ",
				"Content-Length: " + BODY.length() + "\r\nX-Empty:\r\nX_y!#$%&'*+-.^`|~9: \u00e9\t\"(a)\" {b} =?" }) {
			try (ScriptedServer server = new ScriptedServer((request, connection) -> ScriptedServer.write(connection,
					ScriptedServer.head("200 OK", request, line + "\r\n") + BODY));
					ForwardingFixture fixture = new ForwardingFixture(server)) {
				for (String target : TARGETS) {
					String response = fixture.call(target, KEY, "");
					Assert.assertTrue(isComplete(response), line + ": " + response);
				}
			}
		}
	}

	private static boolean isComplete(String response) {
		int headEnd = response.indexOf("\r\n\r\n");
		if (!response.startsWith("HTTP/1.1 200 ") || headEnd < 0) {
			return false;
		}
		String body = response.substring(headEnd + 4);
		return response.contains("Content-Length: " + body.length()) || body.endsWith("0\r\n\r\n");
	}

}
