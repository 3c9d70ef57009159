package org.marjoramgw.side.backend;

import org.marjoramgw.ResultCode;

/**
 * Result of an execution whose response is complete.
 *
 * @param code {@link ResultCode#OK} or {@link ResultCode#BACKEND_ERROR}
 * @param httpStatus HTTP status of the response
 * @param contentType content type of the response
 * @param finishReason finish reason given by the engine, or an empty string for a plain
 * service
 * @author The marjoramgw authors
 */
public record BackendResult(ResultCode code, int httpStatus, String contentType, String finishReason) {
}
