package org.marjoramgw.http;

/**
 * Kinds of memory that a process holds for callers.
 *
 * @author The marjoramgw authors
 */
public enum MemoryKind {

	/** Connections with the bytes of unread requests and written responses. */
	CONNECTION,
	/** Bodies of requests, until the request has ended. */
	REQUEST,
	/** Responses and events that were not written yet. */
	RESPONSE

}
