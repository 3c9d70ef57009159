package org.marjoramgw.standin.engine;

import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.standin.Json;
import org.marjoramgw.standin.LaggingValue;
import org.marjoramgw.standin.StandinSystem;

/**
 * HTTP routes of an engine stand-in.
 *
 * @author The marjoramgw authors
 */
final class EngineRoutes extends AllDirectives {

	private static final int MAX_BUFFERED_EVENTS = 4_096;

	private final StandinSystem system;

	private final EngineStandin engine;

	EngineRoutes(StandinSystem system, EngineStandin engine) {
		this.system = system;
		this.engine = engine;
	}

	Route route() {
		return concat(
				pathPrefix("v1", () -> concat(
						path(PathMatchers.segment("chat").slash("completions"),
								() -> post(
										() -> entity(Unmarshaller.entityToString(), (body) -> complete(chat(body))))),
						path(PathMatchers.segment("requests").slash(PathMatchers.segment()),
								(id) -> delete(() -> complete(cancel(id)))))),
				path("load", () -> get(() -> complete(load()))),
				path("state", () -> get(() -> complete(Json.ok(this.engine.orders().state())))),
				path("orders",
						() -> post(() -> entity(Unmarshaller.entityToString(), (body) -> complete(order(body))))),
				controlRoute());
	}

	Route controlRoute() {
		return concat(
				path("control",
						() -> put(() -> entity(Unmarshaller.entityToString(), (body) -> complete(control(body))))),
				path(PathMatchers.segment("control").slash("executions"),
						() -> get(() -> complete(Json.ok(Map.of("executions", this.engine.executions()))))));
	}

	private HttpResponse chat(String body) {
		try {
			ChatCall call = Json.read(body, ChatCall.class);
			return call.isValid() ? generate(call) : Json.error(400, "model and messages are required");
		}
		catch (JsonProcessingException ex) {
			return Json.error(400, ex.getOriginalMessage());
		}
	}

	private HttpResponse generate(ChatCall call) {
		if (!this.engine.orders().serves(call.model())) {
			return Json.error(404, "model is not loaded: " + call.model());
		}
		ResponseText response = this.engine.responseTo(call.prompt());
		int continueFromTokens = response.countPrefixTokens(call.continueFromOrEmpty());
		if (continueFromTokens < 0) {
			return Json.error(400, "continue_from is not a prefix of the answer");
		}
		Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> events = Source
			.<ByteString>queue(MAX_BUFFERED_EVENTS)
			.preMaterialize(this.system.actors());
		String id = (call.requestId() != null) ? call.requestId() : "";
		this.engine.batch()
			.submit(call, response, continueFromTokens, new EventStreamTokenSink(events.first(), id, call.model()));
		return HttpResponse.create()
			.withEntity(HttpEntities.createChunked(ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), events.second()));
	}

	private HttpResponse cancel(String requestId) {
		return switch (this.engine.batch().cancel(requestId)) {
			case UNKNOWN -> Json.error(404, "not known: " + requestId);
			case NOT_STARTED -> Json.ok(Map.of("started", false));
			case STARTED -> Json.ok(Map.of("started", true));
		};
	}

	private HttpResponse load() {
		LaggingValue.Version<Load> visible = this.engine.load().visible();
		return Json.ok(Map.of("running", visible.value().running(), "waiting", visible.value().waiting(), "as_of_ms",
				visible.setAtMillis()));
	}

	private HttpResponse order(String body) {
		try {
			boolean accepted = this.engine.orders().apply(Json.read(body, Orders.Order.class));
			return accepted ? Json.ok(this.engine.orders().state()) : Json.error(409, "old fencing number");
		}
		catch (JsonProcessingException ex) {
			return Json.error(400, ex.getOriginalMessage());
		}
	}

	private HttpResponse control(String body) {
		return Json.accept(body, EngineControl.class, this.engine::control);
	}

}
