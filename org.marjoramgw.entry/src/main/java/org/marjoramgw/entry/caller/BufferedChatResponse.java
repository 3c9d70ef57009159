package org.marjoramgw.entry.caller;

import java.nio.charset.StandardCharsets;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.marjoramgw.wire.Message;

/**
 * Chat answer in one JSON body.
 *
 * @author The marjoramgw authors
 */
final class BufferedChatResponse extends BufferedResponse {

	private static final int OK = 200;

	private final ChatCompletionJson text;

	BufferedChatResponse(PendingResponse head, ChatCompletionJson text) {
		super(head);
		this.text = text;
	}

	@Override
	public void onEnd(Message.End end) {
		String json = this.text.whole(new String(body(), StandardCharsets.UTF_8), end.finishReason());
		head().send(OK, ContentTypes.APPLICATION_JSON, json.getBytes(StandardCharsets.UTF_8));
	}

}
