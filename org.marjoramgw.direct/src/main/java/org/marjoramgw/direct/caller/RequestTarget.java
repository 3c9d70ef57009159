package org.marjoramgw.direct.caller;

/**
 * Parts of what a request says of its target, undecoded.
 *
 * @author The marjoramgw authors
 */
public final class RequestTarget {

	private RequestTarget() {
	}

	/**
	 * Returns the path of a target.
	 * @param target the target, perhaps with a query
	 * @return the target up to its query
	 */
	public static String pathOf(String target) {
		int query = target.indexOf('?');
		return (query >= 0) ? target.substring(0, query) : target;
	}

	/**
	 * Returns the host that a request names.
	 * @param value value of its host header, perhaps with a port
	 * @return the value up to its port
	 */
	public static String hostOf(String value) {
		int colon = value.lastIndexOf(':');
		return (colon >= 0) ? value.substring(0, colon) : value;
	}

}
