package org.marjoramgw.http;

/**
 * Answer to an HTTP call.
 *
 * @param status status of the answer
 * @param contentType content type of the answer
 * @param body body as UTF-8 text
 * @param etag entity tag of the answer, or an empty text
 * @author The marjoramgw authors
 */
public record HttpReply(int status, String contentType, String body, String etag) {

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	/**
	 * Tells whether the call succeeded.
	 * @return whether the status is 2xx
	 */
	public boolean isOk() {
		return this.status >= OK && this.status < MULTIPLE_CHOICES;
	}

}
