package org.marjoramgw.http;

import java.nio.charset.StandardCharsets;

import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMessage;
import org.apache.pekko.util.ByteString;

/**
 * Conversion between the text of header values, as the HTTP library decodes it, and their
 * bytes.
 * <p>
 * The library decodes values as UTF-8, but writes only the low byte of each character. It
 * represents a byte that isn't valid UTF-8 by a character from U+FF80 on, and takes bytes
 * behind it, also the end of the line, for a part of the value.
 *
 * @author The marjoramgw authors
 */
public final class HeaderText {

	/** First of the characters that stand for bytes which are not valid UTF-8. */
	private static final char FIRST_UNDECODED = '\uff80';

	private static final char LAST_ASCII = '\u007f';

	private HeaderText() {
	}

	/**
	 * Tells whether all header values of a message were decoded as they were sent, so
	 * that its framing can be trusted.
	 * @param message message that the library parsed
	 * @return whether they are valid UTF-8 without control characters and without
	 * characters that could also stand for other bytes
	 */
	public static boolean isIntact(HttpMessage message) {
		for (HttpHeader header : message.getHeaders()) {
			if (!isIntact(header.value())) {
				return false;
			}
		}
		return ContentTypeHeader.isIntact(message.entity().getContentType());
	}

	/**
	 * Converts a value to the text that makes the library write the same bytes again.
	 * @param value intact value as the library decoded it, or any other text
	 * @return its UTF-8 bytes, one character each
	 */
	public static String toBytes(String value) {
		return isAscii(value) ? value : new String(value.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
	}

	static boolean isIntact(String value) {
		for (int index = 0; index < value.length(); index++) {
			char next = value.charAt(index);
			if (next >= FIRST_UNDECODED || (next < ' ' && next != '\t')) {
				return false;
			}
		}
		return true;
	}

	static boolean isAscii(String value) {
		for (int index = 0; index < value.length(); index++) {
			if (value.charAt(index) > LAST_ASCII) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Replaces each byte of a head beyond ASCII by the UTF-8 sequence of the character
	 * with the same number. The library then decodes one character for each byte, and
	 * writes the same byte again.
	 * @param head bytes of a head
	 * @return bytes for the parser of the library
	 */
	static ByteString toParser(ByteString head) {
		for (int index = 0; index < head.size(); index++) {
			if (head.apply(index) < 0) {
				return ByteString.fromString(head.decodeString(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
			}
		}
		return head;
	}

}
