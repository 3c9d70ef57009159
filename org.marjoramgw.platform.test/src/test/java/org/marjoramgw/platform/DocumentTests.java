package org.marjoramgw.platform;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.RequestKind;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.Routing;
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
				{ REGISTRATION.replace("\"s\"", "7") }, { REGISTRATION.replace("8080", "99999") } };
	}

	@Test(dataProvider = "malformedRegistrations")
	public void rejectsMalformedRegistration(String text) {
		Assert.assertEquals(ServerRegistration.decode("i-1", bytes(text)), Optional.empty());
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
