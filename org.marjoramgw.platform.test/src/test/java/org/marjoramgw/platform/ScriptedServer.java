package org.marjoramgw.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.HostPort;

/**
 * Backend server that responds with bytes written by a test script and records its
 * requests.
 *
 * @author The marjoramgw authors
 */
final class ScriptedServer implements AutoCloseable {

	private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

	private static final DaemonThreadFactory THREADS = new DaemonThreadFactory("scripted-server");

	/** More connections than a test opens at once. */
	private static final int BACKLOG = 500;

	/** Receive buffer of a server that doesn't read bodies, in bytes. */
	private static final int UNREAD_BYTES = 8 << 10;

	private final ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final CountDownLatch disconnected = new CountDownLatch(1);

	private final Script script;

	private final boolean readsBodies;

	ScriptedServer(Script script) throws IOException {
		this(script, true);
	}

	/**
	 * Creates a server.
	 * @param script script of the responses
	 * @param readsBodies whether a request is read completely before its response
	 * @throws IOException if the server can't listen
	 */
	ScriptedServer(Script script, boolean readsBodies) throws IOException {
		this.script = script;
		this.readsBodies = readsBodies;
		if (!readsBodies) {
			// Otherwise the operating system may take a body of some megabytes by itself.
			this.socket.setReceiveBufferSize(UNREAD_BYTES);
		}
		THREADS.newThread(this::acceptAll).start();
	}

	HostPort address() {
		return new HostPort("127.0.0.1", this.socket.getLocalPort());
	}

	List<String> requests() {
		return this.requests;
	}

	/**
	 * Waits until requests were received.
	 * @param count number of requests
	 * @param millis longest wait, in milliseconds
	 * @return number of requests that were received by then
	 * @throws InterruptedException if the wait is interrupted
	 */
	int awaitRequests(int count, long millis) throws InterruptedException {
		long limitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (this.requests.size() < count && System.nanoTime() < limitNanos) {
			TimeUnit.MILLISECONDS.sleep(1);
		}
		return this.requests.size();
	}

	/**
	 * Waits until a peer disconnects after the script stopped reading.
	 * @param millis timeout, in milliseconds
	 * @return whether a peer disconnected
	 * @throws InterruptedException if the wait is interrupted
	 */
	boolean awaitDisconnect(long millis) throws InterruptedException {
		return this.disconnected.await(millis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/**
	 * Creates a response head with the id and stamp headers of a backend server.
	 * @param status status line after the version
	 * @param request the request
	 * @param more further header lines, each with its line end
	 * @return the head
	 */
	static String head(String status, String request, String more) {
		Matcher id = Pattern.compile("(?i)x-request-id: (\\S+)").matcher(request);
		return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + (id.find() ? id.group(1) : "")
				+ "\r\nX-Response-Stamp: stamp\r\n" + more + "\r\n";
	}

	/**
	 * Writes bytes to a connection.
	 * @param connection the connection
	 * @param bytes the bytes, one character each
	 * @return whether to read further requests, always true
	 * @throws IOException if the connection fails
	 */
	static boolean write(Socket connection, String bytes) throws IOException {
		connection.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
		return true;
	}

	/**
	 * Answers a request with a short plain response.
	 * @param request the request
	 * @param connection its connection
	 * @return whether to read further requests, always true
	 * @throws IOException if the connection fails
	 */
	static boolean respondGood(String request, Socket connection) throws IOException {
		return write(connection, head("200 OK", request, "Content-Length: 4\r\n") + "good");
	}

	/**
	 * Waits for a latch, in a script.
	 * @param latch the latch
	 * @param millis longest wait, in milliseconds
	 * @return whether the latch was released
	 * @throws IOException if the wait is interrupted
	 */
	static boolean await(CountDownLatch latch, long millis) throws IOException {
		try {
			return latch.await(millis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private void acceptAll() {
		try {
			while (true) {
				Socket connection = this.socket.accept();
				THREADS.newThread(() -> serve(connection)).start();
			}
		}
		catch (IOException ex) {
			// The server socket is closed at the end of the test.
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			for (String request = read(in); request != null; request = read(in)) {
				this.requests.add(request);
				if (!this.script.respond(request, connection)) {
					in.read();
					this.disconnected.countDown();
					return;
				}
			}
		}
		catch (IOException ex) {
			this.disconnected.countDown();
		}
	}

	private String read(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			bytes.write(next);
		}
		Matcher length = LENGTH.matcher(bytes.toString(StandardCharsets.ISO_8859_1));
		if (this.readsBodies && length.find()) {
			bytes.write(in.readNBytes(Integer.parseInt(length.group(1))));
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	/**
	 * Script of the responses.
	 */
	@FunctionalInterface
	interface Script {

		/**
		 * Handles a request.
		 * @param request head and body of the request
		 * @param connection connection of the request
		 * @return whether to read further requests; if not, the server waits for the peer
		 * to disconnect
		 * @throws IOException if the connection fails
		 */
		boolean respond(String request, Socket connection) throws IOException;

	}

}
