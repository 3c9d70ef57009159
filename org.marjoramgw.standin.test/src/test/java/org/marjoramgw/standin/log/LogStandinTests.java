package org.marjoramgw.standin.log;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.StandinClient;
import org.marjoramgw.standin.StandinSystem;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests the contract of {@link LogStandin}.
 *
 * @author The marjoramgw authors
 */
public class LogStandinTests {

	private static final long TIMEOUT_MILLIS = 5_000;

	private StandinSystem system;

	@BeforeClass
	public void start() {
		this.system = new StandinSystem();
	}

	@AfterClass
	public void stop() {
		this.system.close();
	}

	@Test
	public void numbersRecordsAndReadsThemBack() throws Exception {
		try (LogStandin log = start("")) {
			StandinClient client = client(log);
			Assert.assertEquals(append(client, "a", "b").get("first_offset").asLong(), 0);
			Assert.assertEquals(append(client, "c").get("first_offset").asLong(), 2);
			JsonNode slice = client.sendForJson("GET", "/streams/s/records?from=1&limit=1", "");
			Assert.assertEquals(slice.get("next_offset").asLong(), 3);
			Assert.assertEquals(slice.get("records").size(), 1);
			Assert.assertEquals(slice.get("records").get(0).get("data").asText(), "b");
			JsonNode empty = client.sendForJson("GET", "/streams/none/records?from=5", "");
			Assert.assertEquals(empty.get("next_offset").asLong(), 0);
		}
	}

	@Test
	public void expiresTheOldestRecords() throws Exception {
		try (LogStandin log = start("retention_record_count = 2")) {
			StandinClient client = client(log);
			append(client, "a", "b", "c");
			JsonNode slice = client.sendForJson("GET", "/streams/s/records?from=0", "");
			Assert.assertEquals(slice.get("first_offset").asLong(), 1);
			Assert.assertEquals(slice.get("records").get(0).get("data").asText(), "b");
		}
	}

	@Test
	public void refusesAppendsOverTheRate() throws Exception {
		try (LogStandin log = start("appends_per_second = 1\nburst_count = 1")) {
			StandinClient client = client(log);
			append(client, "a");
			Assert.assertEquals(client.send("POST", "/streams/s/records", "{\"records\":[\"b\"]}").statusCode(), 429);
			Assert.assertEquals(log.usage().appendCount(), 1);
		}
	}

	@Test
	public void appendsAlthoughTheResponseIsLost() throws Exception {
		try (LogStandin log = start("")) {
			StandinClient client = client(log);
			client.send("PUT", "/control", "{\"lose_answers\":1}");
			Assert.assertThrows(IOException.class, () -> append(client, "a"));
			JsonNode slice = client.sendForJson("GET", "/streams/s/records?from=0", "");
			Assert.assertEquals(slice.get("records").get(0).get("data").asText(), "a");
			Assert.assertEquals(append(client, "b").get("first_offset").asLong(), slice.get("next_offset").asLong());
		}
	}

	@Test
	public void refusesAllCallsInAnOutage() throws Exception {
		try (LogStandin log = start("")) {
			StandinClient client = client(log);
			client.send("PUT", "/control", "{\"outage\":true}");
			Assert.assertEquals(client.send("POST", "/streams/s/records", "{\"records\":[\"b\"]}").statusCode(), 503);
			Assert.assertEquals(client.send("GET", "/streams/s/records?from=0", "").statusCode(), 503);
			client.send("PUT", "/control", "{\"outage\":false}");
			Assert.assertEquals(append(client, "b").get("first_offset").asLong(), 0);
		}
	}

	private LogStandin start(String settings) throws Exception {
		return LogStandin.start(this.system, LogSettings.read(TomlTable.ofText("log", settings)));
	}

	private static StandinClient client(LogStandin log) {
		return new StandinClient(log.address(), TIMEOUT_MILLIS);
	}

	private static JsonNode append(StandinClient client, String... records) throws Exception {
		String body = "{\"records\":[\"" + String.join("\",\"", records) + "\"]}";
		return client.sendForJson("POST", "/streams/s/records", body);
	}

}
