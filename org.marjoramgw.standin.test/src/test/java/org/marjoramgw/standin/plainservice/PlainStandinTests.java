package org.marjoramgw.standin.plainservice;

import java.io.IOException;
import java.util.List;

import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.StandinClient;
import org.marjoramgw.standin.StandinSystem;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the contract of {@link PlainStandin}.
 *
 * @author The marjoramgw authors
 */
public class PlainStandinTests {

	private static final long TIMEOUT_MILLIS = 5_000;

	@Test
	public void recordsEveryExecutionIncludingThoseWithoutAResponse() throws Exception {
		try (StandinSystem system = new StandinSystem();
				PlainStandin plain = PlainStandin.start(system, PlainSettings.read(TomlTable.ofText("plain", "")))) {
			StandinClient client = new StandinClient(plain.address(), TIMEOUT_MILLIS);
			Assert.assertEquals(client.sendForJson("POST", "/orders", "one").get("echo").asText(), "one");
			client.send("PUT", "/control", "{\"break_after_run\":true}");
			Assert.assertThrows(IOException.class, () -> client.send("POST", "/orders", "two"));
			client.send("PUT", "/control", "{\"break_after_run\":false,\"status\":409}");
			Assert.assertEquals(client.send("POST", "/orders", "three").statusCode(), 409);
			Assert.assertEquals(plain.executions().stream().map(PlainExecution::body).toList(),
					List.of("one", "two", "three"));
		}
	}

}
