package org.marjoramgw.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * HTTP server that gives one answer to everything.
 *
 * @author The marjoramgw authors
 */
public final class FixedAnswerServer implements AutoCloseable {

	private final HttpServer server;

	private final int status;

	private final byte[] body;

	public FixedAnswerServer(int status, String body) throws IOException {
		this.status = status;
		this.body = body.getBytes(StandardCharsets.UTF_8);
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", this::answer);
		this.server.start();
	}

	public String url() {
		return "http://127.0.0.1:" + this.server.getAddress().getPort();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private void answer(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		exchange.sendResponseHeaders(this.status, this.body.length);
		exchange.getResponseBody().write(this.body);
		exchange.close();
	}

}
