package org.marjoramgw.direct.backend;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * How long a connection may be used again after an answer.
 *
 * @author The marjoramgw authors
 */
public final class KeepAlive {

	/** Idle time that a server which names none still allows, in milliseconds. */
	private static final long DEFAULT_KEEP_MILLIS = 200;

	/** Part of the named time that is used: the server's clock started earlier. */
	private static final double USED_FRACTION = 0.6;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

	private KeepAlive() {
	}

	/**
	 * Reads an answer's head.
	 * @param response the answer
	 * @return how long its connection may be used again, in milliseconds; 0 if not at all
	 */
	public static long keepMillis(HttpResponse response) {
		long keepMillis = response.entity().isCloseDelimited() ? 0 : DEFAULT_KEEP_MILLIS;
		for (HttpHeader header : response.getHeaders()) {
			if (header.is("connection") && header.value().toLowerCase(Locale.ROOT).contains("close")) {
				return 0;
			}
			Matcher timeout = TIMEOUT.matcher(header.value());
			if (keepMillis > 0 && header.is("keep-alive") && timeout.find()) {
				keepMillis = (long) (Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND * USED_FRACTION);
			}
		}
		return keepMillis;
	}

}
