package org.marjoramgw.entry.caller;

import java.io.ByteArrayOutputStream;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.marjoramgw.ResultCode;
import org.marjoramgw.entry.dispatch.AnswerSink;
import org.marjoramgw.wire.Message;

/**
 * Answer of a plain service, passed on when it is whole.
 *
 * @author The marjoramgw authors
 */
final class PlainAnswer implements AnswerSink {

	private final AnswerHead head;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	PlainAnswer(AnswerHead head) {
		this.head = head;
	}

	@Override
	public void onChunk(byte[] payload) {
		this.body.writeBytes(payload);
	}

	@Override
	public boolean restart() {
		this.body.reset();
		return true;
	}

	@Override
	public void onEnd(Message.End end) {
		this.head.send(end.httpStatus(), contentType(end.contentType()), this.body.toByteArray());
	}

	@Override
	public void onError(ResultCode code, long retryAfterMillis) {
		this.head.sendError(code, "", retryAfterMillis);
	}

	private static ContentType contentType(String text) {
		return org.apache.pekko.http.scaladsl.model.ContentType.parse(text)
			.<ContentType>fold((errors) -> ContentTypes.APPLICATION_OCTET_STREAM, (known) -> known);
	}

}
