package org.marjoramgw.policy.memory;

/**
 * What memory is held for.
 *
 * @author The marjoramgw authors
 */
public enum MemoryUse {

	/** Connections themselves. */
	CONNECTIONS,

	/** Bytes that were read from sockets and not taken yet. */
	READ_AHEAD,

	/** Heads, chunks and trailers that are not complete yet. */
	PARSING,

	/** Bodies of requests, until the requests end. */
	REQUEST_BODIES,

	/** Bodies of responses that are read completely. */
	RESPONSE_BODIES,

	/** Bytes that peers don't read. */
	WRITES

}
