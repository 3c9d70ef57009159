package org.marjoramgw.standin.engine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.standin.Json;

/**
 * Token sink that writes the server-sent events of the chat protocol.
 *
 * @author The marjoramgw authors
 */
final class EventStreamTokenSink implements TokenSink {

	private final BoundedSourceQueue<ByteString> queue;

	private final String id;

	private final String model;

	EventStreamTokenSink(BoundedSourceQueue<ByteString> queue, String id, String model) {
		this.queue = queue;
		this.id = id;
		this.model = model;
	}

	@Override
	public boolean emit(String text) {
		return offer(new Event(this.id, this.model, List.of(new Choice(0, new Delta(text), null))));
	}

	@Override
	public void finish(String finishReason) {
		List<Choice> choices = new ArrayList<>();
		choices.add(new Choice(0, new Delta(""), finishReason));
		offer(new Event(this.id, this.model, choices));
		offerData("[DONE]");
		if (!this.queue.isCompleted()) {
			this.queue.complete();
		}
	}

	@Override
	public void abort() {
		if (!this.queue.isCompleted()) {
			this.queue.fail(new IOException("engine crashed"));
		}
	}

	private boolean offer(Event event) {
		return offerData(Json.write(event));
	}

	private boolean offerData(String data) {
		ByteString bytes = ByteString.fromString("data: " + data + "\n\n");
		return this.queue.offer(bytes) == QueueOfferResult.enqueued();
	}

	private record Event(String id, String object, String model, List<Choice> choices) {

		Event(String id, String model, List<Choice> choices) {
			this(id, "chat.completion.chunk", model, choices);
		}

	}

	private record Choice(int index, Delta delta, String finishReason) {
	}

	private record Delta(String content) {
	}

}
