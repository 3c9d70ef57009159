package org.marjoramgw.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;

/**
 * HTTP call that a side process makes to a backend server.
 *
 * @param method HTTP method, always {@code POST} for a model
 * @param path request path with query, starting with a slash
 * @param contentType content type of the body
 * @param body the request body
 * @param continueFrom text already delivered to the caller, after which generation
 * continues
 * @param repeatable whether the call may be executed more than once
 * @param idempotencyKey idempotency key that the caller sent, or an empty string
 * @author The marjoramgw authors
 */
@JsonFormat(shape = Shape.ARRAY)
public record BackendCall(String method, String path, String contentType, byte[] body, String continueFrom,
		boolean repeatable, String idempotencyKey) {
}
