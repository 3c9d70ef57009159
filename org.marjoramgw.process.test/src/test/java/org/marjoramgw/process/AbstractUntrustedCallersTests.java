package org.marjoramgw.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

import org.marjoramgw.HostPort;
import org.marjoramgw.rig.ManagedProcess;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;

/**
 * Base class of tests with callers that don't respect the limits. The process under test
 * is started anew for each test, since a test may end it. These tests are in a group of
 * their own that runs without any other test at the same time.
 *
 * @author The marjoramgw authors
 */
public abstract class AbstractUntrustedCallersTests {

	/** Group of the tests that don't run at the same time as others. */
	static final String ALONE = "alone";

	/** Largest legal body: the default of {@code body_bytes}. */
	static final int MAX_BODY_BYTES = 1_048_576;

	/** Connections that don't fit into the descriptors of the process. */
	static final int MANY_CONNECTIONS = ProcessBounds.MAX_DESCRIPTORS * 5 / 4;

	/** Shorter than the default, since tests wait for it. */
	private static final long IDLE_TIMEOUT_MILLIS = 15_000;

	private static final long ANSWER_MILLIS = 90_000;

	private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(10);

	private static final String END_OF_HEAD = "\r\n\r\n";

	private DeploymentFixture fixture;

	/**
	 * Starts the deployment.
	 * @throws Exception if it doesn't serve requests in time
	 */
	@BeforeClass(alwaysRun = true)
	public void start() throws Exception {
		this.fixture = DeploymentFixture.start(
				DeploymentPlans.of(1, 1, 1).withProcessSettings(Map.of("caller_idle_timeout_ms", IDLE_TIMEOUT_MILLIS)));
	}

	/**
	 * Restarts the process under test.
	 * @throws Exception if it doesn't serve requests in time
	 */
	@BeforeMethod(alwaysRun = true)
	public void restartProcess() throws Exception {
		process().kill();
		process().limitDescriptors(ProcessBounds.MAX_DESCRIPTORS);
		process().restart();
		awaitAnswer();
	}

	/**
	 * Stops the deployment.
	 */
	@AfterClass(alwaysRun = true)
	public void stop() {
		if (this.fixture != null) {
			this.fixture.close();
		}
	}

	/**
	 * Returns the process under test.
	 * @return the process
	 */
	protected abstract ManagedProcess process();

	/**
	 * Creates an ordinary request.
	 * @return the request, without a timeout
	 */
	protected abstract HttpRequest.Builder ordinaryRequest();

	final DeploymentFixture fixture() {
		return this.fixture;
	}

	final HostPort address() {
		return process().address("http");
	}

	final URI uri(String path) {
		return URI.create("http://" + address() + path);
	}

	/**
	 * Number of connections whose largest legal bodies together need more than the heap.
	 * @return 4/3 of the heap, divided by the largest body
	 * @throws Exception if the options of the JVM can't be read
	 */
	static int bodyConnections() throws Exception {
		return (int) (ProcessBounds.heapBytes() * 4 / 3 / MAX_BODY_BYTES);
	}

	/**
	 * Bytes that each of the connections sends where there is no end: together four times
	 * the heap.
	 * @return number of bytes of one connection
	 * @throws Exception if the options of the JVM can't be read
	 */
	static long endlessBytes() throws Exception {
		return 4 * ProcessBounds.heapBytes() / bodyConnections();
	}

	static String head(String requestLine, String... lines) {
		StringBuilder head = new StringBuilder(requestLine + " HTTP/1.1\r\nHost: marjoramgw");
		for (String line : lines) {
			head.append("\r\n").append(line);
		}
		return head.toString();
	}

	static String wholeHead(String requestLine, String... lines) {
		return head(requestLine, lines) + END_OF_HEAD;
	}

	/**
	 * Sends a script on several connections, and checks while they are open that the
	 * process is within its bounds and answers an ordinary request.
	 * @param script what the connections send
	 * @param count number of connections
	 * @throws Exception if the test is interrupted or can't open its sockets
	 */
	final void survives(CallerScript script, int count) throws Exception {
		try (ScriptedCallers callers = ScriptedCallers.open(address(), count, script)) {
			callers.send();
			ProcessBounds.check(process());
			awaitAnswer();
			checkAll();
		}
	}

	final void checkAll() throws Exception {
		ProcessBounds.check(process());
		for (ManagedProcess other : this.fixture.processes()) {
			Assert.assertTrue(other.isAlive(), other.name() + " has exited: " + other.outputLines());
		}
	}

	final void awaitAnswer() throws Exception {
		Await.until(process().name() + " answers an ordinary request", ANSWER_MILLIS, () -> {
			Assert.assertTrue(process().isAlive(), process().name() + " has exited: " + process().outputLines());
			try {
				return HttpClient.newBuilder()
					.version(HttpClient.Version.HTTP_1_1)
					.connectTimeout(ATTEMPT_TIMEOUT)
					.build()
					.send(ordinaryRequest().timeout(ATTEMPT_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString())
					.statusCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		});
	}

}
