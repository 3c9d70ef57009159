package org.marjoramgw.platform;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.EngineLimits;
import org.marjoramgw.direct.model.RequestKind;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link RoutingDocument} and {@link ServerRegistration}.
 *
 * @author The marjoramgw authors
 */
public class DocumentTests {

	private static final String REGISTRATION = "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
			+ "\"slots\":128,\"state\":\"ready\",\"sequence\":4}";

	@Test
	public void decodesRoutesAccountsAndLimits() {
		Routing routing = RoutingDocument.decode(new SampleMessages().configuration()).orElseThrow();
		Route stream = routing.route("SAMPLE.example", "/s/x").orElseThrow();
		Assert.assertEquals(stream.kind(), RequestKind.STREAMING);
		Assert.assertTrue(stream.isRepeatable());
		Assert.assertEquals(stream.selectService(0.5), "sample");
		Assert.assertEquals(routing.account("sample").orElseThrow().priority().getAsInt(), 1);
		Assert.assertTrue(routing.needsKey(stream));
		Assert.assertEquals(routing.limits().idleTimeoutMillis(), 15_000);
	}

	@DataProvider
	public Object[][] engines() {
		return new Object[][] { { "{\"slots\":64,\"kvCapacity\":634960}", new EngineLimits(64, 634_960) },
				{ "{\"slots\":64}", new EngineLimits(64, Long.MAX_VALUE) }, { "{}", EngineLimits.UNBOUNDED },
				{ "{\"slots\":0,\"kvCapacity\":\"7\"}", EngineLimits.UNBOUNDED }, { "7", EngineLimits.UNBOUNDED },
				{ "{\"slots\":-1,\"kvCapacity\":null}", EngineLimits.UNBOUNDED } };
	}

	@Test(dataProvider = "engines")
	public void limitsOfAnEngineAreUnboundedUnlessTheyAreNumbers(String engine, EngineLimits limits) {
		String text = "{\"version\":1,\"services\":[{\"name\":\"lm\",\"engine\":" + engine + "},{\"name\":\"app\"}]}";
		Routing routing = RoutingDocument.decode(bytes(text)).orElseThrow();
		Assert.assertEquals(routing.engine("lm"), limits);
		Assert.assertEquals(routing.engine("app"), EngineLimits.UNBOUNDED);
	}

	@DataProvider
	public Object[][] unusableConfigurations() {
		return new Object[][] { { "" }, { "{" }, { "[]" }, { "{\"routes\":[]}" }, { "{\"version\":\"7\"}" } };
	}

	@Test(dataProvider = "unusableConfigurations")
	public void rejectsUnusableConfiguration(String text) {
		Assert.assertEquals(RoutingDocument.decode(bytes(text)), Optional.empty());
	}

	@Test
	public void unknownKindIsNotRepeatable() {
		Routing routing = RoutingDocument
			.decode(bytes("{\"version\":1,\"routes\":[{\"host\":\"h\",\"pathPrefix\":\"/\",\"kind\":\"new\"}]}"))
			.orElseThrow();
		Assert.assertFalse(routing.route("h", "/").orElseThrow().isRepeatable());
	}

	@Test
	public void decodesRegistration() {
		BackendServer server = ServerRegistration.decode("i-1", bytes(REGISTRATION)).orElseThrow();
		Assert.assertEquals(server.address(), new HostPort("10.0.0.9", 8080));
		Assert.assertFalse(server.draining());
		Assert.assertTrue(ServerRegistration.decode("i-1", bytes(REGISTRATION.replace("ready", "draining")))
			.orElseThrow()
			.draining());
	}

	@DataProvider
	public Object[][] malformedRegistrations() {
		return new Object[][] { { "\u0000\u0001" }, { "7" }, { "{}" }, { REGISTRATION.replace("ready", "resting") },
				{ REGISTRATION.replace("10.0.0.9:8080", "nowhere") }, { REGISTRATION.replace("128", "\"128\"") },
				{ REGISTRATION.replace("\"s\"", "7") }, { REGISTRATION.replace("8080", "99999") },
				{ REGISTRATION.replace("8080", "65536") }, { REGISTRATION.replace("8080", "0") },
				{ REGISTRATION.replace("8080", "-1") }, { REGISTRATION.replace("8080", "9".repeat(50)) },
				{ REGISTRATION.replace("8080", "") }, { REGISTRATION.replace("10.0.0.9", "10.0.0.999") },
				{ REGISTRATION.replace("10.0.0.9", "dead.beef") }, { REGISTRATION.replace("10.0.0.9", "7") },
				{ REGISTRATION.replace("10.0.0.9", ":::::") }, { REGISTRATION.replace("128", "1e999") },
				{ REGISTRATION.replace("128", "9".repeat(400)) }, { REGISTRATION.replace("128", "9".repeat(5_000)) },
				{ "[".repeat(200_000) }, { "{\"a\":".repeat(200_000) },
				{ REGISTRATION.replace("4}", "[".repeat(200_000) + "]".repeat(200_000) + "}") } };
	}

	@Test(dataProvider = "malformedRegistrations")
	public void rejectsMalformedRegistration(String text) {
		Assert.assertEquals(ServerRegistration.decode("i-1", bytes(text)), Optional.empty());
	}

	@DataProvider
	public Object[][] malformedIds() {
		return new Object[][] { { "" }, { "i-1\r\nX-Tenant: other" }, { "i 1" }, { "i-\u00e9" }, { "i-\u0000" },
				{ "i-" + "1".repeat(300) } };
	}

	@Test(dataProvider = "malformedIds")
	public void rejectsIdThatCantBeSentInAHeader(String id) {
		Assert.assertEquals(ServerRegistration.decode(id, bytes(REGISTRATION)), Optional.empty());
	}

	@Test
	public void oddNumbersOfOtherFieldsDontHideAServer() {
		for (String number : new String[] { "9".repeat(400), "1e999", "-1", "1.5", "\"x\"", "null", "[]" }) {
			String text = REGISTRATION.replace("\"sequence\":4", "\"sequence\":" + number + ",\"born\":" + number);
			Assert.assertTrue(ServerRegistration.decode("i-1", bytes(text)).isPresent(), number);
		}
	}

	@Test
	public void randomRegistrationsAreDecodedOrIgnored() {
		Random random = TestSeed.random(41);
		String[] values = { "[".repeat(3_000), "9".repeat(2_000), "1e99999", "null", "\"\\ud800\"", "{\"a\":[1]}", "-0",
				"\"10.0.0.9:70000\"", "true", "\"\"" };
		for (int step = 0; step < 5_000; step++) {
			String text = REGISTRATION;
			for (String field : new String[] { "\"s\"", "\"10.0.0.9:8080\"", "\"a\"", "128", "\"ready\"", "4" }) {
				if (random.nextInt(3) == 0) {
					text = text.replace(":" + field, ":" + values[random.nextInt(values.length)]);
				}
			}
			byte[] value = bytes(text);
			value[random.nextInt(value.length)] = (byte) random.nextInt();
			ServerRegistration.decode("i-1", value);
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
