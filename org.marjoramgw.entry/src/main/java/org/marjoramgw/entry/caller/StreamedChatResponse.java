package org.marjoramgw.entry.caller;

import java.nio.charset.StandardCharsets;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.ResultCode;
import org.marjoramgw.entry.dispatch.ResponseSink;
import org.marjoramgw.wire.Message;

/**
 * Chat completion streamed as server-sent events.
 * <p>
 * The HTTP response starts with the first chunk, so that an error before it is sent with
 * its own HTTP status.
 *
 * @author The marjoramgw authors
 */
final class StreamedChatResponse implements ResponseSink {

	private static final int OK = 200;

	private static final int MAX_BUFFERED_EVENTS = 4_096;

	private final PendingResponse response;

	private final ChatCompletionJson json;

	private final String requestId;

	private final ActorSystem<?> system;

	private final Runnable onCallerDisconnected;

	private BoundedSourceQueue<ByteString> events;

	private boolean aborted;

	StreamedChatResponse(PendingResponse response, ChatCompletionJson json, String requestId, ActorSystem<?> system,
			Runnable onCallerDisconnected) {
		this.response = response;
		this.json = json;
		this.requestId = requestId;
		this.system = system;
		this.onCallerDisconnected = onCallerDisconnected;
	}

	@Override
	public void onChunk(byte[] payload) {
		startResponse();
		sendEvent("data: " + this.json.chunk(new String(payload, StandardCharsets.UTF_8)) + "\n\n");
	}

	@Override
	public boolean tryReset() {
		return this.events == null;
	}

	@Override
	public void onEnd(Message.End end) {
		startResponse();
		sendEvent("data: " + this.json.lastChunk(end.finishReason()) + "\n\ndata: [DONE]\n\n");
		finish();
	}

	@Override
	public void onError(ResultCode code, long retryAfterMillis) {
		if (this.events == null) {
			this.response.sendError(code, "", retryAfterMillis);
			return;
		}
		sendEvent("event: error\ndata: " + ErrorBody.of(code, "", this.requestId) + "\n\n");
		finish();
	}

	private void startResponse() {
		if (this.events != null) {
			return;
		}
		Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> queueAndSource = Source
			.<ByteString>queue(MAX_BUFFERED_EVENTS)
			.preMaterialize(this.system);
		this.events = queueAndSource.first();
		Source<ByteString, NotUsed> monitored = queueAndSource.second().watchTermination((unused, done) -> {
			done.whenComplete((value, failure) -> this.onCallerDisconnected.run());
			return unused;
		});
		this.response.send(OK, HttpEntities.createChunked(MediaTypes.TEXT_EVENT_STREAM.toContentType(), monitored));
	}

	private void sendEvent(String event) {
		if (!this.aborted && this.events.offer(ByteString.fromString(event)) != QueueOfferResult.enqueued()) {
			this.aborted = true;
			this.onCallerDisconnected.run();
		}
	}

	private void finish() {
		if (!this.events.isCompleted()) {
			this.events.complete();
		}
	}

}
