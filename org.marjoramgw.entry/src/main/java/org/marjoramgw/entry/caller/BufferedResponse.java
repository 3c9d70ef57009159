package org.marjoramgw.entry.caller;

import java.io.ByteArrayOutputStream;

import org.marjoramgw.ResultCode;
import org.marjoramgw.entry.dispatch.ResponseSink;

/**
 * Response that is buffered and sent once it is complete.
 *
 * @author The marjoramgw authors
 */
abstract class BufferedResponse implements ResponseSink {

	private final PendingResponse response;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	BufferedResponse(PendingResponse response) {
		this.response = response;
	}

	@Override
	public final void onChunk(byte[] payload) {
		this.body.writeBytes(payload);
	}

	@Override
	public final boolean tryReset() {
		this.body.reset();
		return true;
	}

	@Override
	public final void onError(ResultCode code, long retryAfterMillis) {
		this.response.sendError(code, "", retryAfterMillis);
	}

	final PendingResponse response() {
		return this.response;
	}

	final byte[] body() {
		return this.body.toByteArray();
	}

}
