package org.marjoramgw.direct.caller;

/**
 * Parsing of request targets and host headers, without percent-decoding.
 *
 * @author The marjoramgw authors
 */
public final class RequestTarget {

	private RequestTarget() {
	}

	/**
	 * Returns the path of a target.
	 * @param target the target, optionally with a query
	 * @return the target without the query
	 */
	public static String pathOf(String target) {
		int query = target.indexOf('?');
		return (query >= 0) ? target.substring(0, query) : target;
	}

	/**
	 * Returns the host name of a host header.
	 * @param value value of the header, optionally with a port
	 * @return the value without the port
	 */
	public static String hostOf(String value) {
		int colon = value.lastIndexOf(':');
		return (colon >= 0) ? value.substring(0, colon) : value;
	}

}
