package org.marjoramgw.standin.proxy;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What a link does with its connections.
 *
 * @author The marjoramgw authors
 */
public enum LinkMode {

	/** Passes bytes on. */
	@JsonProperty("pass")
	PASS,

	/** Drops all bytes without closing anything. */
	@JsonProperty("swallow")
	SWALLOW,

	/** Closes the open connections and goes on accepting. */
	@JsonProperty("cut")
	CUT,

	/** Closes the open connections and refuses new ones. */
	@JsonProperty("refuse")
	REFUSE

}
