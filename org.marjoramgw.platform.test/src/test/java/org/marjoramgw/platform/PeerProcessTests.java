package org.marjoramgw.platform;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that entry processes exchange digests where their settings ask for it, and only
 * there.
 *
 * @author The marjoramgw authors
 */
public class PeerProcessTests {

	private static final String FEATURE = "features = [\"pool\"]\n";

	private static final int MAX_POLLS = 600;

	private static final long POLL_MILLIS = 50;

	private List<Process> processes;

	@BeforeMethod
	public void setUp() {
		this.processes = new ArrayList<>();
	}

	@AfterMethod(alwaysRun = true)
	public void endProcesses() {
		this.processes.forEach(Process::destroyForcibly);
	}

	/** Guards against an exchange that is built but not wired into the process. */
	@Test
	public void startedProcessesHearEachOther() throws Exception {
		HostPort first = freeUdpAddress();
		HostPort second = freeUdpAddress();
		try (StoreStandin store = store(record("one", first), record("two", second))) {
			HostPort metrics = start(store, "one", FEATURE + address(first));
			start(store, "two", FEATURE + address(second));
			awaitMetric(metrics, "peers_heard 1.0");
		}
	}

	@DataProvider
	public Object[][] disablingSettings() throws IOException {
		HostPort address = freeUdpAddress();
		return new Object[][] { { address, FEATURE }, { address, address(address) } };
	}

	/** Guards against deployments that don't ask for the exchange and pay for it. */
	@Test(dataProvider = "disablingSettings")
	public void nothingIsOpenedUnlessBothSettingsAreThere(HostPort address, String settings) throws Exception {
		try (StoreStandin store = store(record("one", address))) {
			HostPort metrics = start(store, "one", settings);
			String page = awaitMetric(metrics, "lag_ms");
			Assert.assertFalse(page.contains("peers_heard") || page.contains("digests_"), page);
			new DatagramSocket(address.port(), InetAddress.getByName(address.host())).close();
		}
	}

	private HostPort start(StoreStandin store, String processId, String more) throws IOException {
		HostPort metrics = StartedEntry.freeAddress();
		Path file = Files.createTempFile("peer", ".toml");
		file.toFile().deleteOnExit();
		Files.writeString(file,
				"process_id = \"" + processId + "\"\nfailure_domain = \"a\"\nhealth_path = \"/-/ready\"\n"
						+ "callers_address = \"" + StartedEntry.freeAddress() + "\"\nhealth_address = \""
						+ StartedEntry.freeAddress() + "\"\nmetrics_address = \"" + metrics + "\"\nstore_address = \""
						+ store.address() + "\"\n" + more);
		this.processes.add(new ProcessBuilder(ProcessHandle.current().info().command().orElseThrow(), "-Xmx64m",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
				PlatformMain.class.getName(), "--config", file.toString())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.DISCARD)
			.start());
		return metrics;
	}

	private static StoreStandin store(KeyedRecord... entries) throws IOException {
		return new StoreStandin(Map.of(StoreClient.OPERATOR_TOPIC, List.of(FixtureRecords.configuration()),
				StoreClient.ENTRIES_TOPIC, List.of(entries)));
	}

	private static KeyedRecord record(String processId, HostPort address) {
		return new KeyedRecord(processId,
				Optional.of(("{\"address\":\"" + address + "\",\"incarnation\":1}").getBytes(StandardCharsets.UTF_8)),
				0);
	}

	private static String address(HostPort address) {
		return "peer_address = \"" + address + "\"\n";
	}

	private static String awaitMetric(HostPort metrics, String line) {
		String page = "";
		for (int poll = 0; poll < MAX_POLLS; poll++) {
			page = read(metrics);
			if (page.contains(line)) {
				return page;
			}
			Pause.millis(POLL_MILLIS);
		}
		throw new AssertionError(line + " not in " + page);
	}

	private static String read(HostPort metrics) {
		try (Socket socket = new Socket()) {
			socket.connect(metrics.toSocketAddress());
			socket.getOutputStream()
				.write("GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return "";
		}
	}

	private static HostPort freeUdpAddress() throws SocketException {
		try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
			return new HostPort("127.0.0.1", socket.getLocalPort());
		}
	}

}
