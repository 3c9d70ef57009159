package org.marjoramgw.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * HTTP server that sends the same response to every request. If it has an entity tag, it
 * responds to a conditional request with that tag with status 304.
 *
 * @author The marjoramgw authors
 */
public final class FixedResponseServer implements AutoCloseable {

	private final HttpServer server;

	private final int status;

	private final byte[] body;

	private final String etag;

	private final AtomicInteger notModifiedCount = new AtomicInteger();

	public FixedResponseServer(int status, String body) throws IOException {
		this(status, body, "");
	}

	public FixedResponseServer(int status, String body, String etag) throws IOException {
		this.status = status;
		this.etag = etag;
		this.body = body.getBytes(StandardCharsets.UTF_8);
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", this::answer);
		this.server.start();
	}

	public String url() {
		return "http://127.0.0.1:" + this.server.getAddress().getPort();
	}

	public int notModifiedCount() {
		return this.notModifiedCount.get();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private void answer(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		if (!this.etag.isEmpty() && this.etag.equals(exchange.getRequestHeaders().getFirst("If-None-Match"))) {
			this.notModifiedCount.incrementAndGet();
			exchange.sendResponseHeaders(304, -1);
			exchange.close();
			return;
		}
		if (!this.etag.isEmpty()) {
			exchange.getResponseHeaders().set("ETag", this.etag);
		}
		exchange.sendResponseHeaders(this.status, this.body.length);
		exchange.getResponseBody().write(this.body);
		exchange.close();
	}

}
