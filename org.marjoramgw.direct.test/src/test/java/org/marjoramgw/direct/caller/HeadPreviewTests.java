package org.marjoramgw.direct.caller;

import java.util.Optional;
import java.util.Random;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link HeadPreview} with complete, partial and malformed heads.
 *
 * @author The marjoramgw authors
 */
public class HeadPreviewTests {

	private static final int RANDOM_HEADS = 2_000;

	private static final int MAX_RANDOM_BYTES = 300;

	@DataProvider
	public Object[][] heads() {
		return new Object[][] { { "GET /a/b HTTP/1.1\r\nHost: one.example\r\n\r\n", "one.example", "/a/b" },
				{ "POST /a?b=c/d HTTP/1.1\r\nX: y\r\nhOsT:one.example:8080\r\n\r\nbody", "one.example", "/a" },
				{ "GET /a HTTP/1.1\r\nHost: one.example", "one.example", "/a" },
				{ "GET /a HTTP/1.1\r\nX: y\r\n\r\nHost: body.example\r\n", null, null },
				{ "GET /a HTTP/1.1\r\n", null, null }, { "GET http://one.example/a HTTP/1.1\r\n", null, null },
				{ "GET /a", null, null }, { "\r\n\r\n", null, null }, { "", null, null } };
	}

	@Test(dataProvider = "heads")
	public void readsHostAndPath(String head, String host, String path) {
		Optional<HttpRequest> preview = HeadPreview.of(ByteString.fromString(head)).map(HeadPreview::toRequest);
		Assert.assertEquals(preview.map((request) -> RequestTarget.hostOf(header(request, "host"))),
				Optional.ofNullable(host));
		Assert.assertEquals(preview.map((request) -> RequestTarget.pathOf(header(request, "raw-request-uri"))),
				Optional.ofNullable(path));
	}

	@Test
	public void valueOfHalfReceivedHeaderIsNotTaken() {
		String half = "HEAD /a HTTP/1.1\r\nHost: one.example\r\nX-Time: 14";
		HeadPreview preview = HeadPreview.of(ByteString.fromString(half)).get();
		Assert.assertFalse(preview.complete());
		Assert.assertEquals(preview.toRequest().getHeader("x-time"), Optional.empty());
		HeadPreview complete = HeadPreview.of(ByteString.fromString(half + "00\r\n\r\nX-Body: 1\r\n")).get();
		Assert.assertTrue(complete.complete() && complete.isHeadOnly());
		Assert.assertEquals(header(complete.toRequest(), "x-time"), "1400");
		Assert.assertEquals(complete.toRequest().getHeader("x-body"), Optional.empty());
	}

	private static String header(HttpRequest request, String name) {
		return request.getHeader(name).get().value();
	}

	@Test
	public void acceptsArbitraryBytes() {
		Random random = TestSeed.random(1);
		String letters = "GET /\r\n:Host \u0000\u00ff?";
		for (int number = 0; number < RANDOM_HEADS; number++) {
			StringBuilder head = new StringBuilder();
			for (int length = random.nextInt(MAX_RANDOM_BYTES); length > 0; length--) {
				head.append(letters.charAt(random.nextInt(letters.length())));
			}
			HeadPreview.of(ByteString.fromString(head.toString()));
		}
	}

}
