package org.marjoramgw.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.HostPort;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that {@link BoundedHttpServer} finds the requests in what a connection sends,
 * however it is cut into pieces.
 *
 * @author The marjoramgw authors
 */
public class BoundedHttpServerTests {

	private static final int TIMEOUT_MILLIS = 20_000;

	private static final int ENDLESS_BYTES = 64 << 10;

	private static final String LAST = "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

	private static final String CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

	private final Random random = TestSeed.random(44);

	private ActorSystem<Void> system;

	private BodyReader bodies;

	private HostPort address;

	@BeforeClass
	public void start() throws Exception {
		this.system = ActorSystem.create(Behaviors.empty(), "bounded-http-test", ConfigFactory.load("callers"));
		this.bodies = new BodyReader(this.system);
		MemoryBudget budget = new MemoryBudget(64 << 20, System::nanoTime);
		int port = new BoundedHttpServer(this.system, CallerSettings.defaults(), budget)
			.bind(HttpFixture.ANY_PORT, this::echo)
			.toCompletableFuture()
			.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.localAddress()
			.getPort();
		this.address = new HostPort("127.0.0.1", port);
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.system.terminate();
	}

	/**
	 * Guards against requests that are lost or read wrongly where a read ends, and
	 * against empty lines that are taken away from heads and bodies.
	 */
	@Test
	public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
		for (int round = 0; round < 40; round++) {
			StringBuilder requests = new StringBuilder();
			StringBuilder answers = new StringBuilder();
			int count = 1 + this.random.nextInt(400);
			for (int number = 0; number < count; number++) {
				appendRequest(number, requests, answers);
			}
			Assert.assertEquals(bodies(exchange(requests + LAST)), answers + "</last:>", "round " + round);
		}
	}

	/**
	 * Guards against empty lines that exhaust the parser's stack or hide the request
	 * behind them, which may come in the same read.
	 */
	@Test
	public void emptyLinesBeforeRequestsAreIgnored() throws Exception {
		String lines = "\r\n".repeat(7_000);
		try (Socket socket = open()) {
			write(socket, bytes(lines + "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"));
			readUntil(socket, "</1:>");
			write(socket, bytes(lines + LAST));
			Assert.assertEquals(bodies(readAll(socket)), "</last:>");
		}
	}

	/**
	 * Guards against a body that is handled as a request of its own, since the parser
	 * took the length of the body for a part of the header before it.
	 */
	@Test
	public void nothingBehindAMisreadHeadIsHandled() throws Exception {
		try (Socket socket = open()) {
			write(socket, bytes("POST /1 HTTP/1.1\r\nHost: a\r\nX-Note: caf\u00e9\r\nContent-Length: " + LAST.length()
					+ "\r\n\r\n" + LAST));
			readUntil(socket, "</1:>");
			socket.setSoTimeout(500);
			Assert.assertThrows(SocketTimeoutException.class, () -> readAll(socket));
		}
	}

	/**
	 * Guards against the end of a head that is taken for an empty line before a request.
	 */
	@Test
	public void headMayEndInTheNextRead() throws Exception {
		String head = LAST.substring(0, LAST.length() - 2);
		try (Socket socket = open()) {
			write(socket, bytes("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" + head));
			readUntil(socket, "</1:>");
			socket.getOutputStream().write(bytes("\r\n"));
			Assert.assertEquals(bodies(readAll(socket)), "</last:>");
		}
	}

	@DataProvider
	public Object[][] chunkSizes() {
		return new Object[][] { { CHUNKED_HEAD }, { CHUNKED_HEAD + "1\r\nx\r\n" },
				{ "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" + CHUNKED_HEAD },
				{ CHUNKED_HEAD + "1\r\nx\r\n0\r\n\r\n" + CHUNKED_HEAD },
				{ "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx" + CHUNKED_HEAD } };
	}

	/**
	 * Guards against a chunk size without end, which the parser reads again from its
	 * start with each piece. It is far below the limit on an incomplete chunk.
	 */
	@Test(dataProvider = "chunkSizes")
	public void connectionWithoutEndOfChunkSizeIsClosed(String start) throws Exception {
		try (Socket socket = open()) {
			write(socket, bytes(start + "0".repeat(ENDLESS_BYTES)));
			readAll(socket);
		}
		catch (SocketTimeoutException ex) {
			throw new AssertionError("the connection was not closed", ex);
		}
		catch (SocketException ex) {
			// Closed before all bytes were read.
		}
	}

	private void appendRequest(int number, StringBuilder requests, StringBuilder answers) {
		String body = "\n\r\n0".repeat(this.random.nextInt((this.random.nextInt(20) == 0) ? 5_000 : 5));
		String head = "POST /" + number + " HTTP/1.1\r\nHost: a\r\n";
		switch (this.random.nextInt(3)) {
			case 0 -> {
				requests.append("GET /" + number + " HTTP/1.1\r\nHost: a\r\n\r\n");
				body = "";
			}
			case 1 -> requests.append(head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
			default -> requests.append(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n");
		}
		answers.append("</" + number + ":" + body + ">");
	}

	private static String chunk(String body) {
		return body.isEmpty() ? "" : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
	}

	private String exchange(String requests) throws Exception {
		byte[] bytes = bytes(requests);
		try (Socket socket = open()) {
			Thread writer = new Thread(() -> write(socket, bytes));
			writer.start();
			String answers = readAll(socket);
			writer.join();
			return answers;
		}
	}

	private void write(Socket socket, byte[] bytes) {
		try {
			int sentBytes = 0;
			while (sentBytes < bytes.length) {
				int count = Math.min(bytes.length - sentBytes, 1 + this.random.nextInt(20_000));
				socket.getOutputStream().write(bytes, sentBytes, count);
				sentBytes += count;
			}
		}
		catch (IOException ex) {
			// The reader finds that answers are missing.
		}
	}

	private Socket open() throws IOException {
		Socket socket = new Socket(this.address.host(), this.address.port());
		socket.setSoTimeout(TIMEOUT_MILLIS);
		socket.setTcpNoDelay(true);
		return socket;
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	private static void readUntil(Socket socket, String end) throws IOException {
		StringBuilder read = new StringBuilder();
		while (read.indexOf(end) < 0) {
			int next = socket.getInputStream().read();
			Assert.assertTrue(next >= 0, "closed after " + read);
			read.append((char) next);
		}
	}

	private static String readAll(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	/** Returns what stands in angle brackets, which no head contains. */
	private static String bodies(String answers) {
		StringBuilder bodies = new StringBuilder();
		for (int start = answers.indexOf('<'); start >= 0; start = answers.indexOf('<', start + 1)) {
			bodies.append(answers, start, answers.indexOf('>', start) + 1);
		}
		return bodies.toString();
	}

	private CompletionStage<HttpResponse> echo(HttpRequest request) {
		return this.bodies.read(request.entity(), TIMEOUT_MILLIS, (bytes) -> {
		})
			.thenApply((body) -> HttpResponse.create()
				.withEntity("<" + request.getUri().path() + ":" + body.getData().utf8String() + ">"));
	}

}
