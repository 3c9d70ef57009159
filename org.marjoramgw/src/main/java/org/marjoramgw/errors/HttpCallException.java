package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals an HTTP call that got no response. The call may have taken effect unless the
 * connection was refused.
 *
 * @author The marjoramgw authors
 */
public final class HttpCallException extends CodedException {

	private static final long serialVersionUID = 1L;

	private final boolean refused;

	/**
	 * Creates an exception.
	 * @param uri the URI that was called
	 * @param refused whether the connection failed, so that nothing was sent
	 * @param cause the cause
	 */
	public HttpCallException(String uri, boolean refused, Throwable cause) {
		super(refused ? ResultCode.BACKEND_UNREACHABLE : ResultCode.BACKEND_BROKE_OFF, uri, cause);
		this.refused = refused;
	}

	/**
	 * Tells whether the connection failed, so that nothing was sent.
	 * @return whether the connection failed
	 */
	public boolean isRefused() {
		return this.refused;
	}

}
