package org.marjoramgw.direct.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.model.headers.RawRequestURI;
import org.apache.pekko.util.ByteString;

/**
 * Preview of the first request of a connection, parsed from the bytes that arrived before
 * the connection is opened. It determines the order in which waiting connections are
 * opened and how long they may wait. A request that is forwarded is parsed and validated
 * by the HTTP layer.
 *
 * @param method method of the request
 * @param target request target, not percent-decoded
 * @param headers headers that were received completely, and the host
 * @param complete whether the whole head was received
 * @author The marjoramgw authors
 */
public record HeadPreview(String method, String target, List<HttpHeader> headers, boolean complete) {

	private static final int MAX_BYTES = 16_384;

	private static final String LINE_END = "\r\n";

	private static final String HEAD_END = "\r\n\r\n";

	private static final String HOST = "host";

	/**
	 * Parses the first bytes of a connection.
	 * @param received the bytes received so far
	 * @return the preview, or empty if the bytes don't contain a request line and a host
	 * header
	 */
	public static Optional<HeadPreview> of(ByteString received) {
		String text = received.take(MAX_BYTES).decodeString(StandardCharsets.UTF_8);
		int end = text.indexOf(HEAD_END);
		String[] lines = ((end >= 0) ? text.substring(0, end) : text).split(LINE_END, -1);
		String[] requestLine = lines[0].split(" ", -1);
		if (requestLine.length != 3 || !requestLine[1].startsWith("/")) {
			return Optional.empty();
		}
		List<HttpHeader> headers = new ArrayList<>();
		for (int index = 1; index < lines.length; index++) {
			boolean whole = end >= 0 || index < lines.length - 1;
			header(lines[index]).filter((header) -> whole || header.is(HOST)).ifPresent(headers::add);
		}
		boolean hasHost = headers.stream().anyMatch((header) -> header.is(HOST));
		return hasHost ? Optional.of(new HeadPreview(requestLine[0], requestLine[1], headers, end >= 0))
				: Optional.empty();
	}

	/**
	 * Tells whether a request head was received completely, whatever it contains.
	 * @param received the bytes received so far
	 * @return whether the head and any empty lines before it have ended
	 */
	public static boolean isComplete(ByteString received) {
		String text = received.take(MAX_BYTES).decodeString(StandardCharsets.ISO_8859_1);
		return text.stripLeading().contains(HEAD_END);
	}

	/**
	 * Converts the preview to a request without a body.
	 * @return the request
	 */
	public HttpRequest toRequest() {
		List<HttpHeader> all = new ArrayList<>(this.headers);
		all.add(RawRequestURI.create(this.target));
		return HttpRequest.create().withHeaders(all);
	}

	/**
	 * Tells whether the response to the request has no body.
	 * @return whether it asks for the head only
	 */
	public boolean isHeadOnly() {
		return this.method.equals(HttpMethods.HEAD.value());
	}

	private static Optional<HttpHeader> header(String line) {
		int colon = line.indexOf(':');
		return (colon > 0) ? Optional.of(RawHeader.create(line.substring(0, colon), line.substring(colon + 1).trim()))
				: Optional.empty();
	}

}
