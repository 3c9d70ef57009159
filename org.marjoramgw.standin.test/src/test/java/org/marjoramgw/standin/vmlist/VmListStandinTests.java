package org.marjoramgw.standin.vmlist;

import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.StandinClient;
import org.marjoramgw.standin.StandinSystem;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the contract of {@link VmListStandin}.
 *
 * @author The marjoramgw authors
 */
public class VmListStandinTests {

	private static final long TIMEOUT_MILLIS = 5_000;

	@Test
	public void showsChangesAfterTheLagAndFailsInAnOutage() throws Exception {
		try (StandinSystem system = new StandinSystem();
				VmListStandin list = VmListStandin.start(system,
						VmListSettings.read(TomlTable.ofText("vmlist", "lag_ms = 0")))) {
			StandinClient client = new StandinClient(list.address(), TIMEOUT_MILLIS);
			client.call("PUT", "/vms/a", "{\"id\":\"a\",\"role\":\"side\",\"state\":\"live\"}");
			Assert.assertEquals(client.json("GET", "/vms", "").get("vms").get(0).get("id").asText(), "a");
			client.call("PUT", "/control", "{\"lag_ms\":3600000}");
			client.call("DELETE", "/vms/a", "");
			Assert.assertEquals(client.json("GET", "/vms", "").get("vms").size(), 1);
			client.call("PUT", "/control", "{\"lag_ms\":0,\"outage\":true}");
			Assert.assertEquals(client.call("GET", "/vms", "").statusCode(), 503);
			client.call("PUT", "/control", "{\"outage\":false}");
			Assert.assertEquals(client.json("GET", "/vms", "").get("vms").size(), 0);
		}
	}

}
