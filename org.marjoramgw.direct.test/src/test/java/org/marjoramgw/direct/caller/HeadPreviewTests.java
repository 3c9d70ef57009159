package org.marjoramgw.direct.caller;

import java.util.Optional;
import java.util.Random;

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
		Optional<HeadPreview> expected = Optional.ofNullable(host).map((known) -> new HeadPreview(known, path));
		Assert.assertEquals(HeadPreview.of(ByteString.fromString(head)), expected);
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
