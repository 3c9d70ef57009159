package org.marjoramgw.http;

import org.marjoramgw.errors.HttpCallException;

/**
 * Response to an HTTP call whose body has been read completely.
 *
 * @param status HTTP status code
 * @param contentType content type of the body
 * @param body the body, decoded as UTF-8
 * @param etag entity tag from the {@code ETag} header, or an empty string
 * @author The marjoramgw authors
 */
public record HttpReply(int status, String contentType, String body, String etag) {

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	/**
	 * Returns whether the call succeeded.
	 * @return {@code true} if the status is 2xx
	 */
	public boolean isOk() {
		return this.status >= OK && this.status < MULTIPLE_CHOICES;
	}

	/**
	 * Requires that the call succeeded.
	 * @param uri the URI that was called
	 * @throws HttpCallException if the status is not 2xx
	 */
	public void requireOk(String uri) throws HttpCallException {
		if (!isOk()) {
			throw new HttpCallException(uri + " returned HTTP status " + this.status, false, null);
		}
	}

}
