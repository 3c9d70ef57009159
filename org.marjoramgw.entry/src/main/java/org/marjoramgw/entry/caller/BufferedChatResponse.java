package org.marjoramgw.entry.caller;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.wire.Message;

/**
 * Chat completion sent as one JSON body.
 *
 * @author The marjoramgw authors
 */
final class BufferedChatResponse extends BufferedResponse {

	private static final int OK = 200;

	private final ChatCompletionJson json;

	BufferedChatResponse(PendingResponse response, ResponseMemory memory, ChatCompletionJson json) {
		super(response, memory);
		this.json = json;
	}

	@Override
	void send(PendingResponse to, Message.End end, ByteString content) {
		String completion = this.json.completion(content.utf8String(), end.finishReason());
		to.send(OK, ContentTypes.APPLICATION_JSON, ByteString.fromString(completion));
	}

}
