package org.marjoramgw.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.errors.HttpCallException;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link BlockingHttpClient} against a server that answers twice.
 *
 * @author The marjoramgw authors
 */
public class SecondResponseTests {

	private static final String SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";

	@DataProvider
	public Object[][] seconds() {
		return new Object[][] { { SECOND }, { "HTTP/1.1 404 N" }, { "HTTP/1.1 404 Not Found\r\nX-Note: x" },
				{ SECOND.substring(0, SECOND.length() - 1) } };
	}

	@Test(dataProvider = "seconds")
	public void secondResponseIsNotTakenForThatToTheNextCall(String second) throws Exception {
		try (HttpFixture http = new HttpFixture();
				ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			new DaemonThreadFactory("twice").newThread(() -> acceptAll(server, second)).start();
			String uri = "http://127.0.0.1:" + server.getLocalPort() + "/";
			http.warmUp(uri + "warm-up");
			BlockingHttpClient client = http.newClient();
			for (int call = 0; call < 10; call++) {
				Assert.assertEquals(answer(client, uri + call), "200 /" + call);
			}
		}
	}

	private static String answer(BlockingHttpClient client, String uri) throws HttpCallException {
		HttpReply reply = client.get(uri);
		return reply.status() + " " + reply.body();
	}

	private static void acceptAll(ServerSocket server, String second) {
		try {
			while (true) {
				Socket connection = server.accept();
				new DaemonThreadFactory("twice").newThread(() -> serve(connection, second)).start();
			}
		}
		catch (IOException ex) {
			// The server socket is closed at the end of the test.
		}
	}

	private static void serve(Socket connection, String second) {
		try (connection) {
			StringBuilder request = new StringBuilder();
			for (int next = connection.getInputStream().read(); next >= 0; next = connection.getInputStream().read()) {
				request.append((char) next);
				if (request.toString().endsWith("\r\n\r\n")) {
					String target = request.toString().split(" ")[1];
					request.setLength(0);
					String response = "HTTP/1.1 200 OK\r\nContent-Length: " + target.length() + "\r\n\r\n" + target;
					connection.getOutputStream().write((response + second).getBytes(StandardCharsets.ISO_8859_1));
				}
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

}
