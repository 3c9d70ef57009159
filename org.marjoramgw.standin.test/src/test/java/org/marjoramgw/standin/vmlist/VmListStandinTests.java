package org.marjoramgw.standin.vmlist;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.StandinClient;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.vmlist.Vm;
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
			client.send("PUT", "/vms/a", "{\"id\":\"a\",\"role\":\"side\",\"state\":\"live\"}");
			Assert.assertEquals(client.sendForJson("GET", "/vms", "").get("vms").get(0).get("id").asText(), "a");
			client.send("PUT", "/control", "{\"lag_ms\":3600000}");
			client.send("DELETE", "/vms/a", "");
			Assert.assertEquals(client.sendForJson("GET", "/vms", "").get("vms").size(), 1);
			client.send("PUT", "/control", "{\"lag_ms\":0,\"outage\":true}");
			Assert.assertEquals(client.send("GET", "/vms", "").statusCode(), 503);
			client.send("PUT", "/control", "{\"outage\":false}");
			Assert.assertEquals(client.sendForJson("GET", "/vms", "").get("vms").size(), 0);
		}
	}

	@Test
	public void returnsNotModifiedForAnUnchangedList() throws Exception {
		try (StandinSystem system = new StandinSystem();
				VmListStandin list = VmListStandin.start(system,
						VmListSettings.read(TomlTable.ofText("vmlist", "lag_ms = 0")))) {
			HttpClient client = HttpClient.newHttpClient();
			HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + list.address() + "/vms"));
			HttpResponse<String> first = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
			request.header("If-None-Match", first.headers().firstValue("ETag").orElseThrow());
			HttpResponse<String> second = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
			Assert.assertEquals(second.statusCode(), 304);
			Assert.assertEquals(second.body(), "");
			list.putVm(new Vm("a", Vm.SIDE, "", "", "", "", Vm.LIVE));
			Assert.assertEquals(client.send(request.build(), HttpResponse.BodyHandlers.ofString()).statusCode(), 200);
		}
	}

}
