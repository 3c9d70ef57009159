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
 * Chat answer as server-sent events; the HTTP response starts with the first part, so
 * that a refusal before it has a status of its own.
 *
 * @author The marjoramgw authors
 */
final class StreamedChatResponse implements ResponseSink {

	private static final int OK = 200;

	private static final int BUFFER_EVENTS = 4_096;

	private final PendingResponse head;

	private final ChatCompletionJson text;

	private final String requestId;

	private final ActorSystem<?> system;

	private final Runnable onCallerGone;

	private BoundedSourceQueue<ByteString> events;

	private boolean over;

	StreamedChatResponse(PendingResponse head, ChatCompletionJson text, String requestId, ActorSystem<?> system,
			Runnable onCallerGone) {
		this.head = head;
		this.text = text;
		this.requestId = requestId;
		this.system = system;
		this.onCallerGone = onCallerGone;
	}

	@Override
	public void onChunk(byte[] payload) {
		begin();
		offer("data: " + this.text.part(new String(payload, StandardCharsets.UTF_8)) + "\n\n");
	}

	@Override
	public boolean tryReset() {
		return this.events == null;
	}

	@Override
	public void onEnd(Message.End end) {
		begin();
		offer("data: " + this.text.lastPart(end.finishReason()) + "\n\ndata: [DONE]\n\n");
		finish();
	}

	@Override
	public void onError(ResultCode code, long retryAfterMillis) {
		if (this.events == null) {
			this.head.sendError(code, "", retryAfterMillis);
			return;
		}
		offer("event: error\ndata: " + ErrorBody.of(code, "", this.requestId) + "\n\n");
		finish();
	}

	private void begin() {
		if (this.events != null) {
			return;
		}
		Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> source = Source
			.<ByteString>queue(BUFFER_EVENTS)
			.preMaterialize(this.system);
		this.events = source.first();
		Source<ByteString, NotUsed> watched = source.second().watchTermination((unused, done) -> {
			done.whenComplete((value, failure) -> this.onCallerGone.run());
			return unused;
		});
		this.head.send(OK, HttpEntities.createChunked(MediaTypes.TEXT_EVENT_STREAM.toContentType(), watched));
	}

	private void offer(String event) {
		if (!this.over && this.events.offer(ByteString.fromString(event)) != QueueOfferResult.enqueued()) {
			this.over = true;
			this.onCallerGone.run();
		}
	}

	private void finish() {
		if (!this.events.isCompleted()) {
			this.events.complete();
		}
	}

}
