package org.marjoramgw.http;

import java.util.Random;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link FramingScan}.
 *
 * @author The marjoramgw authors
 */
public class FramingScanTests {

	private static final int MAX_BYTES = 100;

	private static final String HEAD = "\r\nPOST / HTTP/1.1\r\nHost: a\r\n\r\n";

	private final Random random = TestSeed.random(5);

	@DataProvider
	public Object[][] bodies() {
		String data = "0\r\n\n".repeat(100);
		String chunk = Integer.toHexString(data.length()) + ";x=y\r\n" + data + "\r\n";
		return new Object[][] { { chunk.repeat(3) + "0\r\nA: b\r\n\r\n" + data, false },
				{ chunk + "1;" + "a".repeat(500), true }, { chunk + "0\r\n" + "A: b\r\n".repeat(MAX_BYTES), true },
				{ chunk + "\r\n".repeat(MAX_BYTES), true }, { "zz\r\n" + data, false },
				{ "0\r\n\r\nGET / HTTP/1.1\r\n" + data, false } };
	}

	/** Guards against trailers without end, and against chunks that look like them. */
	@Test(dataProvider = "bodies")
	public void findsOnlyWhatIsNoData(String body, boolean over) {
		for (int round = 0; round < 50; round++) {
			FramingScan scan = new FramingScan();
			scan.startHead();
			boolean wasOver = false;
			int behindHead = HEAD.length() + this.random.nextInt(body.length());
			scan.add(ByteString.fromString((HEAD + body).substring(0, behindHead)));
			scan.startBody(true);
			for (int start = behindHead; start < HEAD.length() + body.length();) {
				int end = Math.min(start + 1 + this.random.nextInt(90), HEAD.length() + body.length());
				scan.add(ByteString.fromString((HEAD + body).substring(start, end)));
				wasOver |= scan.isOver(MAX_BYTES);
				start = end;
			}
			Assert.assertEquals(wasOver || scan.isOver(MAX_BYTES), over);
		}
	}

	/**
	 * Guards against a chunk size without end that is not measured, since its head came
	 * together with the requests before it.
	 */
	@Test
	public void chunksBehindOtherRequestsAreScanned() {
		String fixed = HEAD + "a\r\n\r\nb";
		String chunked = HEAD + "1\r\nx\r\n0\r\n\r\n";
		String all = fixed + HEAD + chunked + fixed + HEAD + "0".repeat(MAX_BYTES);
		for (int round = 0; round < 50; round++) {
			FramingScan scan = new FramingScan();
			int split = this.random.nextInt(HEAD.length());
			scan.add(ByteString.fromString(all.substring(0, split)));
			scan.add(ByteString.fromString(all.substring(split)));
			scan.startBody(6);
			scan.startBody(0);
			scan.startBody(true);
			scan.startBody(6);
			scan.startBody(true);
			Assert.assertFalse(scan.isOver(MAX_BYTES));
			scan.add(ByteString.fromString("0"));
			Assert.assertTrue(scan.isOver(MAX_BYTES));
		}
	}

	@Test
	public void unscannedBodyIsBoundedUntilTheNextChunk() {
		FramingScan scan = new FramingScan();
		scan.startHead();
		scan.startBody(true);
		for (int round = 0; round < 60; round++) {
			scan.add(ByteString.fromString("a".repeat(MAX_BYTES)));
			Assert.assertFalse(scan.isOver(MAX_BYTES));
			scan.onChunk();
		}
		for (int round = 0; round < 60; round++) {
			scan.add(ByteString.fromString("a".repeat(MAX_BYTES)));
		}
		Assert.assertTrue(scan.isOver(MAX_BYTES));
	}

}
