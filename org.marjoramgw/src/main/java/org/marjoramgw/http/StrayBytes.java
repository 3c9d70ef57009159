package org.marjoramgw.http;

import org.marjoramgw.HostPort;

/**
 * Receiver of reports on bytes that belong to no response of a server.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface StrayBytes {

	/** Receiver that ignores all reports. */
	StrayBytes IGNORED = (address, place, requestId) -> {
	};

	/**
	 * Called when stray bytes were received, after which their connection carries no
	 * further request.
	 * @param address address of the server
	 * @param place where the bytes were found
	 * @param requestId id of the request whose response the bytes followed or were in;
	 * empty if there was none
	 */
	void onStrayBytes(HostPort address, Place place, String requestId);

	/**
	 * Place of the bytes in the course of a connection.
	 */
	enum Place {

		/** Between two requests. */
		IDLE,

		/** After a request was begun, but before its first byte was written. */
		BEFORE_REQUEST,

		/** Behind a complete response, before the connection was released. */
		BEHIND_RESPONSE,

		/** Inside a response, which then is none. */
		INSIDE_RESPONSE

	}

}
