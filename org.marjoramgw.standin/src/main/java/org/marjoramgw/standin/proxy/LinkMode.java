package org.marjoramgw.standin.proxy;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * How a link handles its connections.
 *
 * @author The marjoramgw authors
 */
public enum LinkMode {

	/** Forwards bytes. */
	@JsonProperty("pass")
	PASS,

	/** Drops all bytes without closing the connections. */
	@JsonProperty("swallow")
	SWALLOW,

	/** Closes the open connections and keeps accepting new ones. */
	@JsonProperty("cut")
	CUT,

	/** Closes the open connections and refuses new ones. */
	@JsonProperty("refuse")
	REFUSE

}
