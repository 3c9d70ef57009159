package org.marjoramgw.entry.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.marjoramgw.ResultCode;
import org.marjoramgw.entry.dispatch.AnswerSink;
import org.marjoramgw.wire.Message;

/**
 * Chat answer in one JSON body.
 *
 * @author The marjoramgw authors
 */
final class WholeChatAnswer implements AnswerSink {

	private static final int OK = 200;

	private final AnswerHead head;

	private final ChatText text;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	WholeChatAnswer(AnswerHead head, ChatText text) {
		this.head = head;
		this.text = text;
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
		String json = this.text.whole(this.body.toString(StandardCharsets.UTF_8), end.finishReason());
		this.head.send(OK, ContentTypes.APPLICATION_JSON, json.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public void onError(ResultCode code, long retryAfterMillis) {
		this.head.sendError(code, "", retryAfterMillis);
	}

}
