package org.marjoramgw.standin.weightstore;

import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.StandinClient;
import org.marjoramgw.standin.StandinSystem;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the contract of {@link WeightStoreStandin}.
 *
 * @author The marjoramgw authors
 */
public class WeightStoreStandinTests {

	private static final long TIMEOUT_MILLIS = 5_000;

	@Test
	public void refusesLoadsOverItsRate() throws Exception {
		String settings = "load_ms = 1\nloads_per_minute_count = 1\nburst_count = 1";
		try (StandinSystem system = new StandinSystem();
				WeightStoreStandin store = WeightStoreStandin.start(system,
						WeightStoreSettings.read(TomlTable.ofText("weights", settings)))) {
			StandinClient client = new StandinClient(store.address(), TIMEOUT_MILLIS);
			Assert.assertEquals(client.send("GET", "/weights/m", "").statusCode(), 200);
			Assert.assertEquals(client.send("GET", "/weights/m", "").statusCode(), 429);
		}
	}

}
