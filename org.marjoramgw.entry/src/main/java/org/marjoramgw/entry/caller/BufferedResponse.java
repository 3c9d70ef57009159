package org.marjoramgw.entry.caller;

import java.io.ByteArrayOutputStream;

import org.marjoramgw.ResultCode;
import org.marjoramgw.entry.dispatch.ResponseSink;

/**
 * Answer that is kept until it is whole.
 *
 * @author The marjoramgw authors
 */
abstract class BufferedResponse implements ResponseSink {

	private final PendingResponse head;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	BufferedResponse(PendingResponse head) {
		this.head = head;
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
		this.head.sendError(code, "", retryAfterMillis);
	}

	final PendingResponse head() {
		return this.head;
	}

	final byte[] body() {
		return this.body.toByteArray();
	}

}
