package org.marjoramgw.direct;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.policy.fleet.LoadObserver;
import org.marjoramgw.settings.TomlTable;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link FleetExchange}.
 *
 * @author The marjoramgw authors
 */
public class FleetExchangeTests {

	private static final String REQUIRED = """
			process_id = "entry-1"
			failure_domain = "a"
			callers_address = "127.0.0.1:1"
			health_address = "127.0.0.1:2"
			health_path = "/ready"
			metrics_address = "127.0.0.1:3"
			store_address = "127.0.0.1:4"
			""";

	@DataProvider
	public Object[][] disablingSettings() {
		return new Object[][] { { "" }, { "features = [\"pool\"]" }, { "peer_address = \"127.0.0.1:0\"" },
				{ "peer_address = \"127.0.0.1:0\"\nfeatures = [\"other\"]" } };
	}

	/** Guards against deployments that don't ask for the exchange and pay for it. */
	@Test(dataProvider = "disablingSettings")
	public void nothingIsOpenedReadOrSentUnlessBothSettingsAreThere(String settings)
			throws IOException, InvalidTomlException {
		MetricRegistry registry = new MetricRegistry();
		FleetExchange fleet = FleetExchange.of(settings(settings), null, () -> {
			throw new AssertionError("reads the clock");
		}, (delayMillis, task) -> {
			throw new AssertionError("schedules a task");
		}, registry);
		fleet.start();
		fleet.leave();
		Assert.assertSame(fleet.loadObserver(), LoadObserver.NONE);
		Assert.assertEquals(registry.getNames(), Set.of());
	}

	private static DirectSettings settings(String more) throws IOException, InvalidTomlException {
		Path file = Files.createTempFile("settings", ".toml");
		try {
			Files.writeString(file, REQUIRED + more);
			return new SettingsFile(TomlTable.ofFile(file)).get();
		}
		finally {
			Files.delete(file);
		}
	}

}
