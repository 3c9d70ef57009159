package org.marjoramgw.http;

import java.nio.charset.StandardCharsets;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link HeaderText} and {@link ContentTypeHeader}.
 *
 * @author The marjoramgw authors
 */
public class HeaderTextTests {

	@DataProvider
	public Object[][] values() {
		return new Object[][] { { "", true }, { "a\tb~", true }, { "\u00e8\u010d\u20ac\ud83d\ude00\uff7f", true },
				{ "a\r\nb", false }, { "a\nb", false }, { "a\0", false }, { "caf\uffe9", false }, { "\uff80", false },
				{ "\uffff", false } };
	}

	@Test(dataProvider = "values")
	public void recognizesValuesThatWereMisread(String value, boolean intact) {
		HttpRequest request = HttpRequest.GET("/").addHeader(RawHeader.create("X-Note", value));
		Assert.assertEquals(HeaderText.isIntact(request), intact);
		if (intact) {
			byte[] bytes = HeaderText.toBytes(value).getBytes(StandardCharsets.ISO_8859_1);
			Assert.assertEquals(new String(bytes, StandardCharsets.UTF_8), value);
		}
	}

	/**
	 * Guards against parser input in which a byte of a head stands for another one.
	 */
	@Test
	public void parserGetsOneCharacterForEachByteOfAHead() {
		byte[] all = new byte[256];
		for (int index = 0; index < all.length; index++) {
			all[index] = (byte) index;
		}
		ByteString parsed = HeaderText.toParser(ByteString.fromArray(all));
		Assert.assertEquals(parsed.utf8String().getBytes(StandardCharsets.ISO_8859_1), all);
		ByteString ascii = ByteString.fromString("HTTP/1.1 200 OK\r\n");
		Assert.assertSame(HeaderText.toParser(ascii), ascii);
	}

	@DataProvider
	public Object[][] contentTypes() {
		return new Object[][] { { "text/plain", "text/plain" }, { "text/plain; a=b; charset=UTF-8", "" },
				{ "text/plain; a=\"\u010d\u010a\"", "text/plain; a=\"\u00c4\u008d\u00c4\u008a\"" },
				{ "text/plain; a=\"\\\"\u20ac\\\\\"", "text/plain; a=\"\\\"\u00e2\u0082\u00ac\\\\\"" } };
	}

	@Test(dataProvider = "contentTypes")
	public void contentTypeIsWrittenAsItWasRead(String read, String written) {
		ContentType type = ContentTypes.parse(read);
		HttpRequest request = HttpRequest.POST("/").withEntity(HttpEntities.create(type, ByteString.emptyByteString()));
		Assert.assertEquals(ContentTypeHeader.valueOf(request), written.isEmpty() ? type.toString() : written);
		Assert.assertEquals(ContentTypeHeader.replacing(request).isPresent(), written.contains("\""));
	}

	@Test
	public void contentTypeWithALineEndIsNotWritten() {
		Assert.assertThrows(IllegalArgumentException.class, () -> ContentTypeHeader.create("a\r\nX-Injected: 1"));
	}

}
