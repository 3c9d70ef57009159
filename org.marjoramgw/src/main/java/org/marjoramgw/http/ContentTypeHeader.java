package org.marjoramgw.http;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.HttpCharset;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMessage;
import org.apache.pekko.http.javadsl.model.headers.ModeledCustomHeader;
import org.apache.pekko.http.scaladsl.model.MediaType;
import scala.jdk.javaapi.CollectionConverters;

/**
 * {@code Content-Type} header that is written as it stands. It takes the place of the
 * content type of an entity where the HTTP library would write other bytes than it read:
 * it writes only the low byte of each character of a parameter, and leaves out a value
 * that it can't parse.
 *
 * @author The marjoramgw authors
 */
public final class ContentTypeHeader extends ModeledCustomHeader {

	private static final String NAME = "Content-Type";

	private static final Pattern TOKEN = Pattern.compile("[0-9A-Za-z!#$%&'*+.^_`|~-]+");

	private ContentTypeHeader(String bytes) {
		super(NAME, bytes);
	}

	/**
	 * Creates a header.
	 * @param bytes the value, one character for each byte
	 * @return the header
	 * @throws IllegalArgumentException if the value has control characters
	 */
	public static ContentTypeHeader create(String bytes) {
		if (!HeaderText.isIntact(bytes)) {
			throw new IllegalArgumentException("control characters in a content type");
		}
		return new ContentTypeHeader(bytes);
	}

	/**
	 * Returns the header that has to be written in place of the content type of a
	 * message's entity.
	 * @param message intact message that the library parsed
	 * @return the header, or empty if the library writes the content type as it was read
	 */
	public static Optional<ContentTypeHeader> replacing(HttpMessage message) {
		Optional<String> unparsed = message.getHeader(NAME).map(HttpHeader::value);
		if (unparsed.isPresent()) {
			return unparsed.map(HeaderText::toBytes).map(ContentTypeHeader::new);
		}
		ContentType type = message.entity().getContentType();
		return isWrittenAsRead(type) ? Optional.empty() : Optional.of(new ContentTypeHeader(format(type)));
	}

	/**
	 * Returns the content type of a message.
	 * @param message intact message that the library parsed
	 * @return the value, one character for each byte; empty if there is none
	 */
	public static String valueOf(HttpMessage message) {
		return replacing(message).map(HttpHeader::value).orElseGet(() -> {
			ContentType type = message.entity().getContentType();
			return type.mediaType().mainType().equals("none") ? "" : type.toString();
		});
	}

	static boolean isIntact(ContentType type) {
		return parameters(type).entrySet()
			.stream()
			.allMatch((entry) -> HeaderText.isIntact(entry.getKey()) && HeaderText.isIntact(entry.getValue()))
				&& charset(type).map(HeaderText::isIntact).orElse(true);
	}

	private static boolean isWrittenAsRead(ContentType type) {
		return parameters(type).values().stream().allMatch(HeaderText::isAscii)
				&& charset(type).map(ContentTypeHeader::isToken).orElse(true);
	}

	private static String format(ContentType type) {
		StringBuilder text = new StringBuilder(type.mediaType().mainType()).append('/')
			.append(type.mediaType().subType());
		parameters(type).forEach((name, value) -> appendParameter(text, name, value));
		charset(type).ifPresent((name) -> appendParameter(text, "charset", name));
		return HeaderText.toBytes(text.toString());
	}

	private static void appendParameter(StringBuilder text, String name, String value) {
		text.append("; ").append(name).append('=');
		if (isToken(value)) {
			text.append(value);
		}
		else {
			text.append('"').append(value.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
		}
	}

	private static boolean isToken(String value) {
		return TOKEN.matcher(value).matches();
	}

	private static Map<String, String> parameters(ContentType type) {
		scala.collection.immutable.Map<String, String> parameters = ((MediaType) type.mediaType()).params();
		return parameters.isEmpty() ? Map.of() : CollectionConverters.asJava(parameters);
	}

	private static Optional<String> charset(ContentType type) {
		return type.getCharsetOption().map(HttpCharset::value);
	}

	@Override
	public boolean renderInRequests() {
		return true;
	}

	@Override
	public boolean renderInResponses() {
		return true;
	}

}
