package org.marjoramgw.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;

/**
 * Call to a backend server.
 *
 * @param method HTTP method, always {@code POST} for a model
 * @param path path at the backend server, with query, starting with a slash
 * @param contentType content type of the body
 * @param body body bytes
 * @param continueFrom text that the caller already has; generation goes on after it
 * @param repeatable whether the call may run more than once
 * @param idempotencyKey key that the caller sent, or an empty text
 * @author The marjoramgw authors
 */
@JsonFormat(shape = Shape.ARRAY)
public record BackendCall(String method, String path, String contentType, byte[] body, String continueFrom,
		boolean repeatable, String idempotencyKey) {
}
