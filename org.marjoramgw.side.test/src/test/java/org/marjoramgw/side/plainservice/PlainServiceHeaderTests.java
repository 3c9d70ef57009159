package org.marjoramgw.side.plainservice;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.ResultCode;
import org.marjoramgw.side.backend.BackendRequest;
import org.marjoramgw.side.engine.ResponseRecorder;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.wire.BackendCall;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that {@link PlainServiceBackend} writes targets and content types as they were
 * read. Strings have one character for each byte.
 *
 * @author The marjoramgw authors
 */
public class PlainServiceHeaderTests {

	/** U+010D and U+010A in UTF-8. The low bytes of these characters are a line end. */
	private static final String HIDDEN_LINE_END = "\u00c4\u008d\u00c4\u008a";

	private static final long TIMEOUT_MILLIS = 5_000;

	private StandinSystem system;

	private ServerSocket server;

	@BeforeMethod
	public void start() throws IOException {
		this.system = new StandinSystem();
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
	}

	@AfterMethod
	public void stop() throws IOException {
		this.server.close();
		this.system.close();
	}

	@DataProvider
	public Object[][] calls() {
		return new Object[][] { { "/orders", "text/plain; a=\"b" + HIDDEN_LINE_END + "X-Injected: 1\"" },
				{ "/orders/%41%2f%3f?x=%0d%0a&y", "text/plain" }, { "/orders", "text/plain; charset=x" } };
	}

	/**
	 * Guards against a content type that ends the head, and against a target that is
	 * changed.
	 */
	@Test(dataProvider = "calls")
	public void callReachesTheServiceUnchanged(String target, String contentType) throws Exception {
		CompletableFuture<String> received = answer("Content-Length: 0\r\n\r\n");
		Assert.assertEquals(call(target, contentType).await(), ResultCode.OK);
		String head = received.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		Assert.assertTrue(head.startsWith("POST " + target + " HTTP/1.1\r\n"), head);
		Assert.assertTrue(head.contains("\r\nContent-Type: " + contentType + "\r\n"), head);
	}

	@DataProvider
	public Object[][] unsendableCalls() {
		return new Object[][] { { "/orders\r\nX-Injected: 1" }, { "/a b" }, { "orders" }, { "/\u010d\u010a" } };
	}

	@Test(dataProvider = "unsendableCalls")
	public void callWhoseTargetCanNotBeWrittenIsNotSent(String target) throws Exception {
		Assert.assertEquals(call(target, "text/plain").await(), ResultCode.NOT_SERVED_HERE);
	}

	/**
	 * Guards against a content type that starts a second response at the caller.
	 */
	@Test
	public void contentTypeOfAResponseIsPassedOnUnchanged() throws Exception {
		String contentType = "text/plain; a=\"b" + HIDDEN_LINE_END + "X-Injected: 1\"";
		answer("Content-Type: " + contentType + "\r\nContent-Length: 2\r\n\r\nok");
		ResponseRecorder response = call("/orders", "text/plain");
		Assert.assertEquals(response.await(), ResultCode.OK);
		Assert.assertEquals(response.backendResult().contentType(), contentType);
	}

	/**
	 * Guards against a response whose length was taken for a part of the header before
	 * it.
	 */
	@Test
	public void responseWhoseHeadIsMisreadIsNotPassedOn() throws Exception {
		answer("X-Note: caf\u00e9\r\nContent-Length: 100\r\n\r\nshort");
		Assert.assertEquals(call("/orders", "text/plain").await(), ResultCode.BACKEND_BROKE_OFF);
	}

	private ResponseRecorder call(String target, String contentType) {
		PlainServiceBackend backend = new PlainServiceBackend(this.system.actors(),
				"http://127.0.0.1:" + this.server.getLocalPort(), TIMEOUT_MILLIS, 1_024);
		BackendCall call = new BackendCall("POST", target, contentType, new byte[0], "", false, "");
		ResponseRecorder response = new ResponseRecorder();
		backend.start(new BackendRequest("r", "r", 1, call, ""), response);
		return response;
	}

	private CompletableFuture<String> answer(String response) {
		return CompletableFuture.supplyAsync(() -> {
			try (Socket connection = this.server.accept()) {
				String head = readHead(connection.getInputStream());
				connection.getOutputStream()
					.write(("HTTP/1.1 200 OK\r\n" + response).getBytes(StandardCharsets.ISO_8859_1));
				return head;
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private static String readHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				throw new IOException("connection ended inside a head: " + head);
			}
			head.append((char) next);
		}
		return head.toString();
	}

}
