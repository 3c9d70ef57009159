package org.marjoramgw.direct.caller;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.apache.pekko.util.ByteString;

/**
 * What the first bytes of a connection say of its first request, read before the
 * connection is opened. It decides only which of those that wait is opened first: the
 * request itself is read and judged by the HTTP layer.
 *
 * @param host host that it names, without port
 * @param path path of its target, undecoded
 * @author The marjoramgw authors
 */
public record HeadPreview(String host, String path) {

	private static final int MAX_BYTES = 4_096;

	private static final String LINE_END = "\r\n";

	private static final String HOST = "host:";

	/**
	 * Reads the first bytes of a connection.
	 * @param received the bytes so far
	 * @return the preview, or empty if they don't hold a request line and a host
	 */
	public static Optional<HeadPreview> of(ByteString received) {
		String text = received.take(MAX_BYTES).decodeString(StandardCharsets.ISO_8859_1);
		String[] lines = text.split(LINE_END, -1);
		String[] request = lines[0].split(" ", -1);
		if (request.length != 3 || !request[1].startsWith("/")) {
			return Optional.empty();
		}
		for (int index = 1; index < lines.length && !lines[index].isEmpty(); index++) {
			if (lines[index].regionMatches(true, 0, HOST, 0, HOST.length())) {
				String host = lines[index].substring(HOST.length()).trim();
				return Optional.of(new HeadPreview(RequestTarget.hostOf(host), RequestTarget.pathOf(request[1])));
			}
		}
		return Optional.empty();
	}

}
