package org.marjoramgw.entry.caller;

import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.http.MemoryExhaustedException;

/**
 * Conversion of failures to read a request body to rejections.
 *
 * @author The marjoramgw authors
 */
final class BodyFailures {

	private BodyFailures() {
	}

	static RequestRejectedException toRejection(Throwable failure) {
		Throwable cause = failure;
		while (cause instanceof CompletionException && cause.getCause() != null) {
			cause = cause.getCause();
		}
		if (cause instanceof MemoryExhaustedException) {
			return new RequestRejectedException(ResultCode.MEMORY_EXHAUSTED, "");
		}
		if (cause instanceof TimeoutException) {
			return new RequestRejectedException(ResultCode.BODY_TIMEOUT, "");
		}
		return new RequestRejectedException(ResultCode.BODY_TOO_LARGE, "or cut short");
	}

}
