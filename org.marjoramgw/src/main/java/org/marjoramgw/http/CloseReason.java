package org.marjoramgw.http;

/**
 * Reasons why a server closes a connection of a caller.
 *
 * @author The marjoramgw authors
 */
enum CloseReason {

	/** No request for too long. */
	IDLE,
	/** Request head is over its size or its time. */
	HEAD,
	/** Request body, which nothing reads, is over its time. */
	BODY,
	/** Nothing was sent or read for too long while a response is under way. */
	STALLED,
	/** Connection is over the limit on connections. */
	SURPLUS

}
