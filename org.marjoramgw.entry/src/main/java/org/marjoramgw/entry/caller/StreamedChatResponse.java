package org.marjoramgw.entry.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

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

	/** Objects around the bytes of an event in the queue. */
	private static final int EVENT_OVERHEAD_BYTES = 96;

	private final PendingResponse response;

	private final ChatCompletionJson json;

	private final String requestId;

	private final ActorSystem<?> system;

	private final Runnable onCallerDisconnected;

	private final ResponseMemory memory;

	private volatile BoundedSourceQueue<ByteString> events;

	private boolean aborted;

	StreamedChatResponse(PendingResponse response, ChatCompletionJson json, String requestId, ActorSystem<?> system,
			Function<Runnable, ResponseMemory> memory, Runnable onCallerDisconnected) {
		this.response = response;
		this.memory = memory.apply(this::abort);
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
			this.memory.close();
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
		// Observed before it is materialized, since a caller that has gone never asks for
		// the events.
		Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> queueAndSource = Source
			.<ByteString>queue(MAX_BUFFERED_EVENTS)
			.map(this::onRead)
			.watchTermination((queue, done) -> {
				done.whenComplete((value, failure) -> onTerminated());
				return queue;
			})
			.preMaterialize(this.system);
		this.events = queueAndSource.first();
		this.response.send(OK,
				HttpEntities.createChunked(MediaTypes.TEXT_EVENT_STREAM.toContentType(), queueAndSource.second()));
	}

	private void sendEvent(String event) {
		if (this.aborted) {
			return;
		}
		ByteString bytes = ByteString.fromString(event);
		this.memory.addUnread(occupiedBytes(bytes));
		if (this.events.offer(bytes) != QueueOfferResult.enqueued()) {
			this.aborted = true;
			this.onCallerDisconnected.run();
		}
	}

	/**
	 * Ends the response because the memory of its unread events was reclaimed.
	 */
	void abort() {
		BoundedSourceQueue<ByteString> unread = this.events;
		if (unread != null && !unread.isCompleted()) {
			unread.fail(new IOException("memory of unread events was reclaimed"));
		}
		this.onCallerDisconnected.run();
	}

	/**
	 * Releases the memory if the response was never started; otherwise it is released at
	 * the end of the stream.
	 */
	void closeIfUnstarted() {
		if (this.events == null) {
			this.memory.close();
		}
	}

	private ByteString onRead(ByteString event) {
		this.memory.onRead(occupiedBytes(event));
		return event;
	}

	private void onTerminated() {
		this.memory.close();
		this.onCallerDisconnected.run();
	}

	private static long occupiedBytes(ByteString event) {
		return event.size() + EVENT_OVERHEAD_BYTES;
	}

	private void finish() {
		if (!this.events.isCompleted()) {
			this.events.complete();
		}
	}

}
