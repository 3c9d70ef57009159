package org.marjoramgw.direct.caller;

import java.nio.charset.StandardCharsets;

import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.util.ByteString;

/**
 * Last response on a connection, written without the HTTP layer.
 *
 * @author The marjoramgw authors
 */
final class FinalResponse {

	private static final String LINE_END = "\r\n";

	private FinalResponse() {
	}

	/**
	 * Renders a response.
	 * @param response the response, whose body is complete
	 * @param headOnly whether to leave out the body
	 * @return its bytes
	 */
	static ByteString render(HttpResponse response, boolean headOnly) {
		HttpEntity.Strict body = (HttpEntity.Strict) response.entity();
		StringBuilder head = new StringBuilder("HTTP/1.1 ");
		head.append(response.status().intValue()).append(' ').append(response.status().reason()).append(LINE_END);
		for (HttpHeader header : response.getHeaders()) {
			append(head, header.name(), header.value());
		}
		append(head, "Content-Type", body.getContentType().toString());
		append(head, "Content-Length", Integer.toString(body.getData().size()));
		append(head, "Connection", "close");
		ByteString rendered = ByteString.fromString(head.append(LINE_END).toString(), StandardCharsets.ISO_8859_1);
		return headOnly ? rendered : rendered.concat(body.getData());
	}

	private static void append(StringBuilder head, String name, String value) {
		head.append(name).append(": ").append(value).append(LINE_END);
	}

}
