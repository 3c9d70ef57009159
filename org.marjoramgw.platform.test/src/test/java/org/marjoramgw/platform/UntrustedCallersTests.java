package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against callers that end an entry process or keep it from serving others by what
 * they send, leave out or don't read. Checks only that the process is alive, its memory
 * and descriptors, and that an ordinary request is answered at last, none of which
 * depends on the speed of the machine.
 *
 * @author The marjoramgw authors
 */
@Test(singleThreaded = true)
public class UntrustedCallersTests {

	/** Heap of the entry, which serves bodies of 4 MB. */
	private static final int HEAP_MB = 48;

	/** Callers whose bodies are twice as large as the heap. */
	private static final int CALLERS = 2 * (HEAP_MB << 20) / UntrustedCaller.MAX_BODY_BYTES;

	/** Memory of threads and of the virtual machine itself. */
	private static final int OTHER_MB = 48;

	/** Heap, as much of direct buffers, class metadata, code and the rest. */
	private static final long MAX_RESIDENT_KB = (2 * HEAP_MB + StartedEntry.METADATA_AND_CODE_MB + OTHER_MB) << 10;

	private static final int MAX_DESCRIPTORS = 384;

	/** Idle connections that the process has no descriptors for. */
	private static final int IDLE_CALLERS = 2 * MAX_DESCRIPTORS;

	/**
	 * Share of the descriptors that callers may hold, so that the process can still
	 * connect to its servers and open files.
	 */
	private static final int MAX_USED_DESCRIPTORS = MAX_DESCRIPTORS * 7 / 8;

	private static final int HEADER_TIMEOUT_MILLIS = 1_000;

	private static final int IDLE_TIMEOUT_MILLIS = 3_000;

	private static final String LIMITS = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + UntrustedCaller.MAX_BODY_BYTES
			+ ",\"headerTimeoutMs\":" + HEADER_TIMEOUT_MILLIS + ",\"idleTimeoutMs\":" + IDLE_TIMEOUT_MILLIS + "}";

	/** Time for callers to send, which the entry may end or hold up. */
	private static final int SEND_SECONDS = 15;

	/** Limit of each wait; not reached unless the entry hangs. */
	private static final int WAIT_SECONDS = 60;

	private static final int SERVER_DELAY_MILLIS = 3_000;

	private static final String CHUNKED = "Transfer-Encoding: chunked";

	private static final Pattern PEAK_KB = Pattern.compile("VmHWM:\\s+(\\d+) kB");

	private final List<Socket> connections = new ArrayList<>();

	private ScriptedServer server;

	private StoreStandin store;

	private StartedEntry entry;

	@BeforeMethod
	public void start() throws Exception {
		this.server = new ScriptedServer(UntrustedCallersTests::respond);
		this.store = new StoreStandin(Map.of(StoreClient.OPERATOR_TOPIC, List.of(FixtureRecords.configuration(LIMITS)),
				StoreClient.SERVERS_TOPIC, FixtureRecords.registrations(this.server)));
		this.entry = new StartedEntry(this.store.address(), 1, HEAP_MB,
				List.of("sh", "-c", "ulimit -n " + MAX_DESCRIPTORS + "; exec \"$0\" \"$@\""));
		this.entry.connectAtOnce().close();
		Assert.assertTrue(await(this.entry::isReady), this.entry.output());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		ForwardingFixture.closeAll(this.connections);
		this.connections.clear();
		this.entry.close();
		this.store.close();
		this.server.close();
	}

	@DataProvider
	public Object[][] callers() {
		return Arrays.stream(UntrustedCaller.values()).map((kind) -> new Object[] { kind }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "callers")
	public void entryServesOthersBesideUntrustedCallers(UntrustedCaller kind) throws Exception {
		List<Thread> senders = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			Socket connection = connect();
			Thread sender = new Thread(() -> kind.sendAll(connection), "sender");
			sender.setDaemon(true);
			sender.start();
			senders.add(sender);
		}
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SEND_SECONDS);
		for (Thread sender : senders) {
			sender.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime())));
		}
		assertServes();
		if (kind.isEndlessHead()) {
			Assert.assertTrue(await(() -> senders.stream().noneMatch(Thread::isAlive)),
					"heads that never end are read");
		}
	}

	@DataProvider
	public Object[][] idleCallers() {
		return new Object[][] { { false }, { true } };
	}

	/** Guards against idle connections that use up the descriptors. */
	@Test(dataProvider = "idleCallers")
	public void entryServesOthersBesideIdleConnections(boolean afterRequest) throws Exception {
		for (int index = 0; index < IDLE_CALLERS; index++) {
			connectIdle(afterRequest);
		}
		assertServes();
	}

	/** Guards against idle connections that are never closed. */
	@Test(dataProvider = "idleCallers")
	public void connectionsIdleForTooLongAreClosed(boolean afterRequest) throws Exception {
		for (int index = 0; index < CALLERS; index++) {
			connectIdle(afterRequest).setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
		}
		for (Socket connection : this.connections) {
			// Returns at the end of the connection.
			connection.getInputStream().readAllBytes();
		}
		assertServes();
	}

	@DataProvider
	public Object[][] legalBodies() {
		String content = "a".repeat(UntrustedCaller.MAX_BODY_BYTES);
		String smallChunks = "1\r\na\r\n".repeat(UntrustedCaller.MAX_BODY_BYTES / 16);
		return new Object[][] { { "Content-Length: " + content.length(), content },
				{ CHUNKED, Integer.toHexString(content.length()) + "\r\n" + content + "\r\n0\r\n\r\n" },
				{ CHUNKED, smallChunks + "0\r\nA: b\r\n\r\n" } };
	}

	/** Guards against limits that refuse what is legal. */
	@Test(dataProvider = "legalBodies")
	public void requestOfTheLargestLegalSizeIsServed(String framing, String body) {
		String head = "POST /long-book/2 HTTP/1.1\r\nHost: carob.example\r\nX-Request-Id: r3\r\nConnection: close\r\n"
				+ "Authorization: Token key-1\r\nX-A: " + "a".repeat(15 << 10) + "\r\n" + framing + "\r\n\r\n";
		String answer = call(head + body);
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
	}

	private void assertServes() throws IOException {
		Assert.assertTrue(await(() -> !this.entry.process().isAlive() || isServed()), "answers nobody");
		Assert.assertTrue(this.entry.process().isAlive(), this.entry.lastLine());
		String status = Files.readString(Path.of("/proc/" + this.entry.process().pid() + "/status"));
		Matcher peak = PEAK_KB.matcher(status);
		Assert.assertTrue(peak.find() && Long.parseLong(peak.group(1)) <= MAX_RESIDENT_KB, status);
		Assert.assertTrue(openDescriptors() <= MAX_USED_DESCRIPTORS, "open: " + openDescriptors());
	}

	private boolean isServed() {
		return call("POST /book/1 HTTP/1.1\r\nHost: carob.example\r\nX-Request-Id: r1\r\nContent-Length: 4\r\n"
				+ "Authorization: Token key-1\r\nConnection: close\r\n\r\nbody")
			.startsWith("HTTP/1.1 200 ");
	}

	private String call(String request) {
		try (Socket caller = this.entry.connect()) {
			caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(SEND_SECONDS));
			caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

	private Socket connect() throws IOException {
		Socket connection = this.entry.connect();
		this.connections.add(connection);
		return connection;
	}

	private Socket connectIdle(boolean afterRequest) throws IOException {
		Socket connection = connect();
		if (afterRequest) {
			ForwardingFixture.send(connection, "POST /book/1", "Authorization: Token key-1\r\n", "body");
		}
		return connection;
	}

	private long openDescriptors() {
		try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + this.entry.process().pid() + "/fd"))) {
			return descriptors.count();
		}
		catch (IOException ex) {
			return Long.MAX_VALUE;
		}
	}

	private static boolean await(BooleanSupplier condition) {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > endNanos) {
				return false;
			}
			Pause.millis(100);
		}
		return true;
	}

	private static boolean respond(String request, Socket connection) throws IOException {
		if (request.startsWith("POST /long-book/large")) {
			String head = ScriptedServer.head("200 OK", request,
					"Content-Length: " + UntrustedCaller.MAX_BODY_BYTES + "\r\n");
			return ScriptedServer.write(connection, head + "a".repeat(UntrustedCaller.MAX_BODY_BYTES));
		}
		if (request.startsWith("POST /long-stream/endless")) {
			ScriptedServer.write(connection,
					ScriptedServer.head("200 OK", request, "Content-Type: text/event-stream\r\n"));
			while (true) {
				ScriptedServer.write(connection, "data: " + "a".repeat(8_000) + "\n\n");
			}
		}
		if (request.startsWith("POST /long-book/1")) {
			Pause.millis(SERVER_DELAY_MILLIS);
		}
		return ScriptedServer.respondGood(request, connection);
	}

}
