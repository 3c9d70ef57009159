package org.marjoramgw.entry.caller;

import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawRequestURI;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.wire.BackendCall;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the calls of plain services that callers' requests are converted to.
 *
 * @author The marjoramgw authors
 */
public class PlainRequestTests {

	@DataProvider
	public Object[][] targets() {
		return new Object[][] { { "/orders" }, { "/v1/services/orders/x" }, { "/orders%3Fx=1" },
				{ "/a%2Fb/%0d%0a?q=%41&r=/" }, { "/" }, { "/orders?" } };
	}

	/**
	 * Guards against a path that is percent-decoded, and against a content type that ends
	 * the head of the call.
	 */
	@Test(dataProvider = "targets")
	public void serviceGetsTargetAndContentTypeAsTheyWereSent(String target) throws Exception {
		Path file = Path.of(System.getProperty("repository.root", ".."), "conf", "rogac.toml");
		Configuration configuration = new ConfigurationParser().parse("rogac.toml", 1, Files.readString(file));
		ClientAccount account = configuration.accounts().values().iterator().next();
		for (String prefix : new String[] { "/v1/services/orders", "/v1/%73ervices/orders",
				"http://a:1/v1/services/orders" }) {
			BackendCall call = call(configuration, account, prefix + target);
			Assert.assertEquals(call.path(), target, prefix);
			Assert.assertEquals(call.contentType(), "text/plain; a=\"\u00c4\u008d\u00c4\u008a\"");
		}
	}

	private static BackendCall call(Configuration configuration, ClientAccount account, String target)
			throws Exception {
		HttpRequest http = HttpRequest.POST("/v1/services/orders/x")
			.addHeader(RawRequestURI.create(target))
			.withEntity(HttpEntities.create(ContentTypes.parse("text/plain; a=\"\u010d\u010a\""),
					ByteString.emptyByteString()));
		return CallerRequests
			.toPlainRequest(new RoutingTable(configuration, TestSeed.random(5)), account, "r", http, new byte[0],
					"orders", "x", 16)
			.call();
	}

}
