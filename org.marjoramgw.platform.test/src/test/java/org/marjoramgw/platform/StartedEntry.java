package org.marjoramgw.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.marjoramgw.HostPort;
import org.marjoramgw.program.Pause;

/**
 * Entry process in a JVM of its own, with the options of the deploy file.
 *
 * @author The marjoramgw authors
 */
final class StartedEntry implements AutoCloseable {

	/** Size of the heap, in megabytes. */
	static final int HEAP_MB = 64;

	/** Size of the class metadata and of the compiled code at most, in megabytes. */
	static final int METADATA_AND_CODE_MB = 104;

	private static final List<String> OPTIONS = List.of("-XX:CICompilerCount=1", "-XX:-UsePerfData", "-Xms16m",
			"-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:MaxMetaspaceSize=80m",
			"-XX:ReservedCodeCacheSize=24m");

	private static final int START_SECONDS = 30;

	private static final int READY_POLL_MILLIS = 20;

	private static final int ANSWER_TIMEOUT_MILLIS = 4_000;

	/** Lowest port of the tests' processes. */
	private static final int MIN_PORT = 12_000;

	/** First port that the operating system gives to connections by itself. */
	private static final int MAX_PORT = 32_768;

	private static final int PORT_ATTEMPTS = 20;

	private final Path directory = Files.createTempDirectory("started-entry");

	private final Path output = this.directory.resolve("output");

	private final HostPort callers = freeAddress();

	private final HostPort health = freeAddress();

	private final Process process;

	/**
	 * Starts a process.
	 * @param store address of the store
	 * @param graceSeconds time between a request to stop and a kill, in seconds
	 * @throws IOException if it can't be started
	 */
	StartedEntry(HostPort store, int graceSeconds) throws IOException {
		this(store, graceSeconds, HEAP_MB, List.of());
	}

	/**
	 * Starts a process with limits of its own.
	 * @param store address of the store
	 * @param graceSeconds time between a request to stop and a kill, in seconds
	 * @param heapMegabytes size of the heap, in megabytes
	 * @param launcher command that the command line of the process is appended to
	 * @throws IOException if it can't be started
	 */
	StartedEntry(HostPort store, int graceSeconds, int heapMegabytes, List<String> launcher) throws IOException {
		this(store, graceSeconds, heapMegabytes, launcher, "");
	}

	/**
	 * Starts a process with limits and settings of its own.
	 * @param store address of the store
	 * @param graceSeconds time between a request to stop and a kill, in seconds
	 * @param heapMegabytes size of the heap, in megabytes
	 * @param launcher command that the command line of the process is appended to
	 * @param more further lines of the settings
	 * @throws IOException if it can't be started
	 */
	StartedEntry(HostPort store, int graceSeconds, int heapMegabytes, List<String> launcher, String more)
			throws IOException {
		Path settings = Files.writeString(this.directory.resolve("settings.toml"),
				"process_id = \"entry-" + this.callers.port()
						+ "\"\nfailure_domain = \"a\"\nhealth_path = \"/-/ready\"\ncallers_address = \"" + this.callers
						+ "\"\nhealth_address = \"" + this.health + "\"\nmetrics_address = \"" + freeAddress()
						+ "\"\nstore_address = \"" + store + "\"\nstop_grace_s = " + graceSeconds + "\n" + more);
		List<String> command = new ArrayList<>(launcher);
		command.add(ProcessHandle.current().info().command().orElseThrow());
		command.addAll(OPTIONS);
		command.add("-Xmx" + heapMegabytes + "m");
		// Another build of the program may be given, to compare it by hand.
		command.addAll(List.of("-cp", System.getProperty("entry.classpath", System.getProperty("java.class.path")),
				PlatformMain.class.getName(), "--config", settings.toString()));
		this.process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(this.output.toFile())
			.start();
	}

	/**
	 * Connects as soon as the process listens for callers.
	 * @return the connection
	 * @throws IOException if it ends or doesn't listen in time
	 */
	Socket connectAtOnce() throws IOException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
		while (this.process.isAlive() && System.nanoTime() < endNanos) {
			try {
				return connect();
			}
			catch (IOException ex) {
				Pause.millis(1);
			}
		}
		throw new IOException("doesn't listen: " + output());
	}

	Socket connect() throws IOException {
		Socket caller = new Socket();
		caller.connect(this.callers.toSocketAddress());
		return caller;
	}

	/**
	 * Sends a request without a body, with the key of the fixture's account.
	 * @param path path of the request
	 * @return version and status of the response
	 * @throws IOException if there is no response in time
	 */
	String status(String path) throws IOException {
		try (Socket caller = connect()) {
			caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
			ForwardingFixture.send(caller, "GET " + path, "Authorization: Token key-1\r\n", "");
			return ForwardingFixture.readStatus(caller);
		}
	}

	/**
	 * Asks whether the process is ready.
	 * @return whether it answers and says so
	 */
	boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.connect(this.health.toSocketAddress());
			socket.getOutputStream()
				.write("GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)
				.startsWith("HTTP/1.1 200 ");
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Waits until the process is ready.
	 * @throws IOException if it isn't in time
	 */
	void awaitReady() throws IOException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
		while (!isReady()) {
			if (!this.process.isAlive() || System.nanoTime() > endNanos) {
				throw new IOException("isn't ready: " + output());
			}
			Pause.millis(READY_POLL_MILLIS);
		}
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	Process process() {
		return this.process;
	}

	String output() throws IOException {
		return Files.readString(this.output);
	}

	String lastLine() throws IOException {
		String[] lines = output().split("\n");
		return lines[lines.length - 1];
	}

	@Override
	public void close() throws IOException {
		this.process.destroyForcibly();
		try (Stream<Path> files = Files.walk(this.directory)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
	}

	/**
	 * Returns an address on which nothing listens, and whose port the operating system
	 * gives to no connection of another process.
	 * @return the address
	 * @throws IOException if none of several ports is free
	 */
	static HostPort freeAddress() throws IOException {
		IOException failure = null;
		for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
			int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
				return new HostPort("127.0.0.1", port);
			}
			catch (IOException ex) {
				failure = ex;
			}
		}
		throw failure;
	}

}
