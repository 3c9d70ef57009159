package org.marjoramgw.direct.backend;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Keep-alive time of a connection, determined from a response.
 *
 * @author The marjoramgw authors
 */
public final class KeepAlive {

	/** Keep-alive time if the server announces none, in milliseconds. */
	private static final long DEFAULT_KEEP_MILLIS = 200;

	/**
	 * Fraction of the announced time that is used, since the server starts counting it
	 * before the response arrives.
	 */
	private static final double USED_FRACTION = 0.6;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

	private KeepAlive() {
	}

	/**
	 * Returns the time for which the connection may be reused.
	 * @param response the response
	 * @return the time in milliseconds, 0 if the connection must not be reused
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
