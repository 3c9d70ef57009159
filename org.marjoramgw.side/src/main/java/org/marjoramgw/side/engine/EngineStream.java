package org.marjoramgw.side.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.sse.ServerSentEvent;
import org.apache.pekko.http.javadsl.unmarshalling.sse.EventStreamUnmarshalling;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Source;
import org.marjoramgw.ResultCode;
import org.marjoramgw.http.ContentTypeHeader;
import org.marjoramgw.side.backend.BackendListener;
import org.marjoramgw.side.backend.BackendResult;

/**
 * One streamed response of an engine.
 * <p>
 * A response that ends without a finish reason and the closing {@code [DONE]} event is
 * treated as broken off, whatever ended it.
 *
 * @author The marjoramgw authors
 */
final class EngineStream {

	private static final int HTTP_OK = 200;

	private static final int HTTP_BAD_REQUEST = 400;

	private static final int HTTP_SERVER_ERROR = 500;

	private static final long ERROR_BODY_TIMEOUT_MILLIS = 1_000;

	private static final int MAX_ERROR_BODY_BYTES = 65_536;

	private static final String DONE_MARKER = "[DONE]";

	private final ActorSystem<?> system;

	private final ChatJsonCodec codec;

	private final BackendListener listener;

	private final SharedKillSwitch killSwitch = KillSwitches.shared("engine-stream");

	private volatile boolean finished;

	private String finishReason = "";

	EngineStream(ActorSystem<?> system, ChatJsonCodec codec, BackendListener listener) {
		this.system = system;
		this.codec = codec;
		this.listener = listener;
	}

	/**
	 * Cancels the stream and closes its connection.
	 */
	void stop() {
		this.finished = true;
		this.killSwitch.abort(new IOException(ResultCode.CANCELLED_IN_FLIGHT.text()));
	}

	/**
	 * Returns the kill switch that closes the connection of this stream.
	 * @return the kill switch
	 */
	SharedKillSwitch killSwitch() {
		return this.killSwitch;
	}

	/**
	 * Handles the response once its headers have arrived.
	 * @param response the response
	 */
	void onResponse(HttpResponse response) {
		if (response.status().intValue() == HTTP_OK) {
			read(response);
		}
		else {
			onErrorStatus(response);
		}
	}

	/**
	 * Reports that the stream ended without a complete response; does nothing if the
	 * stream has already finished or was cancelled.
	 * @param code result code
	 */
	void fail(ResultCode code) {
		if (!this.finished) {
			this.finished = true;
			this.listener.onFailure(code);
		}
	}

	private void read(HttpResponse response) {
		EventStreamUnmarshalling.fromEventsStream(Adapter.toClassic(this.system))
			.unmarshal(response.entity(), this.system)
			.thenCompose(this::readEvents)
			.whenComplete((done, failure) -> fail(ResultCode.BACKEND_BROKE_OFF));
	}

	private CompletionStage<Done> readEvents(Source<ServerSentEvent, ?> events) {
		return events.via(this.killSwitch.flow()).runForeach(this::onEvent, this.system);
	}

	private void onEvent(ServerSentEvent event) throws JsonProcessingException {
		if (this.finished) {
			return;
		}
		if (DONE_MARKER.equals(event.getData())) {
			onDoneMarker();
			return;
		}
		ChatJsonCodec.ChatEvent parsed = this.codec.decodeEvent(event.getData());
		if (!parsed.text().isEmpty()) {
			this.listener.onPart(1, parsed.text().getBytes(StandardCharsets.UTF_8));
		}
		if (!parsed.finishReason().isEmpty()) {
			this.finishReason = parsed.finishReason();
		}
	}

	private void onDoneMarker() {
		if (!this.finishReason.isEmpty()) {
			this.finished = true;
			this.listener.onComplete(new BackendResult(ResultCode.OK, HTTP_OK, "text/event-stream", this.finishReason));
		}
	}

	private void onErrorStatus(HttpResponse response) {
		int status = response.status().intValue();
		if (status < HTTP_BAD_REQUEST || status >= HTTP_SERVER_ERROR) {
			response.discardEntityBytes(this.system);
			fail(ResultCode.BACKEND_BROKE_OFF);
			return;
		}
		response.entity()
			.withSizeLimit(MAX_ERROR_BODY_BYTES)
			.toStrict(ERROR_BODY_TIMEOUT_MILLIS, this.system)
			.whenComplete((entity, failure) -> {
				if (failure != null) {
					fail(ResultCode.BACKEND_BROKE_OFF);
				}
				else if (!this.finished) {
					this.finished = true;
					this.listener.onPart(0, entity.getData().toArray());
					String contentType = ContentTypeHeader.valueOf(response);
					this.listener.onComplete(new BackendResult(ResultCode.BACKEND_ERROR, status, contentType, ""));
				}
			});
	}

}
