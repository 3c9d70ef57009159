package org.marjoramgw.http;

/**
 * Ends the streams of a connection that was closed because of a limit.
 *
 * @author The marjoramgw authors
 */
final class ConnectionAbortedException extends Exception {

	static final ConnectionAbortedException INSTANCE = new ConnectionAbortedException();

	private static final long serialVersionUID = 1L;

	private ConnectionAbortedException() {
		super("connection closed because of a limit", null, false, false);
	}

}
