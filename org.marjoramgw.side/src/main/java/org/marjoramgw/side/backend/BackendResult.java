package org.marjoramgw.side.backend;

import org.marjoramgw.ResultCode;

/**
 * End of a backend server's answer.
 *
 * @param code {@link ResultCode#OK} or {@link ResultCode#BACKEND_ERROR}
 * @param httpStatus status of the answer
 * @param contentType content type of the answer
 * @param finishReason the engine's reason, or an empty text for a plain service
 * @author The marjoramgw authors
 */
public record BackendResult(ResultCode code, int httpStatus, String contentType, String finishReason) {
}
