package org.marjoramgw.entry.caller;

import java.nio.charset.StandardCharsets;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.marjoramgw.wire.Message;

/**
 * Chat completion sent as one JSON body.
 *
 * @author The marjoramgw authors
 */
final class BufferedChatResponse extends BufferedResponse {

	private static final int OK = 200;

	private final ChatCompletionJson json;

	BufferedChatResponse(PendingResponse response, ChatCompletionJson json) {
		super(response);
		this.json = json;
	}

	@Override
	public void onEnd(Message.End end) {
		String completion = this.json.completion(new String(body(), StandardCharsets.UTF_8), end.finishReason());
		response().send(OK, ContentTypes.APPLICATION_JSON, completion.getBytes(StandardCharsets.UTF_8));
	}

}
