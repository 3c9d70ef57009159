package org.marjoramgw.direct.caller;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.apache.pekko.util.ByteString;

/**
 * Preview of the first request of a connection, parsed from the bytes that arrived before
 * the connection is opened. It only determines the order in which waiting connections are
 * opened. The request itself is parsed and validated by the HTTP layer.
 *
 * @param host host name, without port
 * @param path path of the request target, not percent-decoded
 * @author The marjoramgw authors
 */
public record HeadPreview(String host, String path) {

	private static final int MAX_BYTES = 4_096;

	private static final String LINE_END = "\r\n";

	private static final String HOST = "host:";

	/**
	 * Parses the first bytes of a connection.
	 * @param received the bytes received so far
	 * @return the preview, or empty if the bytes don't contain a request line and a host
	 * header
	 */
	public static Optional<HeadPreview> of(ByteString received) {
		String text = received.take(MAX_BYTES).decodeString(StandardCharsets.ISO_8859_1);
		String[] lines = text.split(LINE_END, -1);
		String[] requestLine = lines[0].split(" ", -1);
		if (requestLine.length != 3 || !requestLine[1].startsWith("/")) {
			return Optional.empty();
		}
		for (int index = 1; index < lines.length && !lines[index].isEmpty(); index++) {
			if (lines[index].regionMatches(true, 0, HOST, 0, HOST.length())) {
				String host = lines[index].substring(HOST.length()).trim();
				return Optional.of(new HeadPreview(RequestTarget.hostOf(host), RequestTarget.pathOf(requestLine[1])));
			}
		}
		return Optional.empty();
	}

}
