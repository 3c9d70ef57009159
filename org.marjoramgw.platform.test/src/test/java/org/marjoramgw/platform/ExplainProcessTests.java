package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.marjoramgw.HostPort;
import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a started entry process explains where a request would go.
 *
 * @author The marjoramgw authors
 */
public class ExplainProcessTests {

	private static final int MAX_POLLS = 600;

	private static final long POLL_MILLIS = 50;

	private static final String DESCRIPTION = "/explain?host=carob.example&path=/prompt/x&part=sys:300&part=own:20&key=";

	@DataProvider
	public Object[][] features() throws IOException {
		return new Object[][] { { "", false },
				{ "features = [\"pool\"]\npeer_address = \"" + StartedEntry.freeAddress() + "\"\n", true } };
	}

	/**
	 * Guards against an endpoint that is built but not wired into the process, that is
	 * open to callers, or that writes a key to the log.
	 */
	@Test(dataProvider = "features")
	public void explainsAtTheMetricsAddressOnly(String more, boolean shared) throws Exception {
		HostPort metrics = StartedEntry.freeAddress();
		HostPort callers = StartedEntry.freeAddress();
		Path directory = Files.createTempDirectory("explain-process");
		Path output = directory.resolve("output");
		Path settings = Files.writeString(directory.resolve("settings.toml"),
				"process_id = \"one\"\nfailure_domain = \"a\"\nhealth_path = \"/-/ready\"\ncallers_address = \""
						+ callers + "\"\nhealth_address = \"" + StartedEntry.freeAddress() + "\"\nmetrics_address = \""
						+ metrics + "\"\nstore_address = \"%s\"\n" + more);
		try (ScriptedServer server = new ScriptedServer((request, connection) -> false);
				StoreStandin store = new StoreStandin(
						Map.of(StoreClient.OPERATOR_TOPIC, List.of(FixtureRecords.configuration()),
								StoreClient.SERVERS_TOPIC, FixtureRecords.registrations(server)))) {
			Files.writeString(settings, Files.readString(settings).formatted(store.address()));
			Process process = new ProcessBuilder(ProcessHandle.current().info().command().orElseThrow(), "-Xmx64m",
					"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
					PlatformMain.class.getName(), "--config", settings.toString())
				.redirectErrorStream(true)
				.redirectOutput(output.toFile())
				.start();
			try {
				String page = await(metrics, DESCRIPTION + "key-1", "\"server\":\"i-0\"");
				Assert.assertTrue(page.contains("\"route\":\"prompt\",\"account\":\"coop\""), page);
				Assert.assertTrue(page.contains("\"permit\":{\"waits\":false"), page);
				Assert.assertEquals(page.contains("\"shared_requests\":0.0"), shared, page);
				Assert.assertFalse(page.contains("key-1"), page);
				String refused = read(metrics, DESCRIPTION + "wrong-key");
				Assert.assertTrue(refused.contains("\"refusal\":{\"code\":2002"), refused);
				Assert.assertTrue(read(metrics, DESCRIPTION + "wrong-key%").startsWith("HTTP/1.1 400"));
				Assert.assertTrue(read(metrics, "/metrics").contains("lag_ms"));
				Assert.assertFalse(read(callers, DESCRIPTION + "key-1").contains("config_version"));
				Assert.assertEquals(server.requests().size(), 0, "nothing is sent");
				String log = Files.readString(output);
				Assert.assertFalse(log.contains("wrong-key") || log.contains("key-1"), log);
			}
			finally {
				process.destroyForcibly().waitFor();
			}
		}
	}

	private static String await(HostPort address, String target, String part) {
		String page = "";
		for (int poll = 0; poll < MAX_POLLS; poll++) {
			page = read(address, target);
			if (page.contains(part)) {
				return page;
			}
			Pause.millis(POLL_MILLIS);
		}
		throw new AssertionError(part + " not in " + page);
	}

	private static String read(HostPort address, String target) {
		try (Socket socket = new Socket()) {
			socket.connect(address.toSocketAddress());
			socket.getOutputStream()
				.write(("GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return "";
		}
	}

}
