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
import org.marjoramgw.side.backend.BackendEnd;
import org.marjoramgw.side.backend.BackendListener;

/**
 * One streamed answer of an engine.
 * <p>
 * An answer without a finish reason and the closing mark is broken off, however it ended.
 *
 * @author The marjoramgw authors
 */
final class EngineStream {

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int SERVER_ERROR = 500;

	private static final long ERROR_BODY_MILLIS = 1_000;

	private static final int ERROR_BODY_BYTES = 65_536;

	private static final String CLOSING_MARK = "[DONE]";

	private final ActorSystem<?> system;

	private final EngineJson json;

	private final BackendListener listener;

	private final SharedKillSwitch killSwitch = KillSwitches.shared("engine-stream");

	private volatile boolean over;

	private String finishReason = "";

	EngineStream(ActorSystem<?> system, EngineJson json, BackendListener listener) {
		this.system = system;
		this.json = json;
		this.listener = listener;
	}

	/**
	 * Stops the stream and closes its connection.
	 */
	void stop() {
		this.over = true;
		this.killSwitch.abort(new IOException(ResultCode.CANCELLED_IN_FLIGHT.text()));
	}

	/**
	 * Returns what closes the connection.
	 * @return the kill switch of this stream
	 */
	SharedKillSwitch killSwitch() {
		return this.killSwitch;
	}

	/**
	 * Receives the head of the answer.
	 * @param response the answer
	 */
	void onResponse(HttpResponse response) {
		if (response.status().intValue() == OK) {
			read(response);
		}
		else {
			onErrorStatus(response);
		}
	}

	/**
	 * Ends without a whole answer.
	 * @param code why
	 */
	void fail(ResultCode code) {
		if (!this.over) {
			this.over = true;
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
		if (this.over) {
			return;
		}
		if (CLOSING_MARK.equals(event.getData())) {
			onClosingMark();
			return;
		}
		EngineJson.Event parsed = this.json.event(event.getData());
		if (!parsed.text().isEmpty()) {
			this.listener.onPart(1, parsed.text().getBytes(StandardCharsets.UTF_8));
		}
		if (!parsed.finishReason().isEmpty()) {
			this.finishReason = parsed.finishReason();
		}
	}

	private void onClosingMark() {
		if (!this.finishReason.isEmpty()) {
			this.over = true;
			this.listener.onEnd(new BackendEnd(ResultCode.OK, OK, "text/event-stream", this.finishReason));
		}
	}

	private void onErrorStatus(HttpResponse response) {
		int status = response.status().intValue();
		if (status < BAD_REQUEST || status >= SERVER_ERROR) {
			response.discardEntityBytes(this.system);
			fail(ResultCode.BACKEND_BROKE_OFF);
			return;
		}
		response.entity()
			.withSizeLimit(ERROR_BODY_BYTES)
			.toStrict(ERROR_BODY_MILLIS, this.system)
			.whenComplete((entity, failure) -> {
				if (failure != null) {
					fail(ResultCode.BACKEND_BROKE_OFF);
				}
				else if (!this.over) {
					this.over = true;
					this.listener.onPart(0, entity.getData().toArray());
					String contentType = entity.getContentType().toString();
					this.listener.onEnd(new BackendEnd(ResultCode.BACKEND_ERROR, status, contentType, ""));
				}
			});
	}

}
