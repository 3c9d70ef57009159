package org.marjoramgw.entry.caller;

import java.io.ByteArrayOutputStream;

import org.marjoramgw.ResultCode;
import org.marjoramgw.entry.dispatch.AnswerSink;

/**
 * Answer that is kept until it is whole.
 *
 * @author The marjoramgw authors
 */
abstract class BufferedAnswer implements AnswerSink {

	private final AnswerHead head;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	BufferedAnswer(AnswerHead head) {
		this.head = head;
	}

	@Override
	public final void onChunk(byte[] payload) {
		this.body.writeBytes(payload);
	}

	@Override
	public final boolean restart() {
		this.body.reset();
		return true;
	}

	@Override
	public final void onError(ResultCode code, long retryAfterMillis) {
		this.head.sendError(code, "", retryAfterMillis);
	}

	final AnswerHead head() {
		return this.head;
	}

	final byte[] body() {
		return this.body.toByteArray();
	}

}
