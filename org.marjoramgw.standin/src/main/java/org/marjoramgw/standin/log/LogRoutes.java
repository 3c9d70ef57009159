package org.marjoramgw.standin.log;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.StringUnmarshallers;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.marjoramgw.log.LogRecord;
import org.marjoramgw.log.LogSlice;
import org.marjoramgw.standin.HttpEndpoint;
import org.marjoramgw.standin.Json;
import org.marjoramgw.standin.StandinSystem;

/**
 * HTTP routes of a log stand-in.
 *
 * @author The marjoramgw authors
 */
final class LogRoutes extends AllDirectives {

	private static final int DEFAULT_READ_COUNT = 100;

	private static final int MAX_READ_COUNT = 10_000;

	private final StandinSystem system;

	private final LogStandin log;

	LogRoutes(StandinSystem system, LogStandin log) {
		this.system = system;
		this.log = log;
	}

	Route route() {
		return concat(pathPrefix("streams", () -> path(PathMatchers.segment().slash("records"), this::streamRoute)),
				path("control", () -> concat(get(() -> complete(Json.ok(this.log.usage()))),
						put(() -> entity(Unmarshaller.entityToString(), (body) -> complete(control(body)))))));
	}

	private Route streamRoute(String stream) {
		return concat(
				post(() -> extractRequest((request) -> entity(Unmarshaller.entityToString(),
						(body) -> completeWithFuture(append(request, stream, body))))),
				get(() -> parameterOptional(StringUnmarshallers.LONG, "from",
						(from) -> parameterOptional(StringUnmarshallers.INTEGER, "limit", (limit) -> completeWithFuture(
								read(stream, from.orElse(0L), limit.orElse(DEFAULT_READ_COUNT)))))));
	}

	private HttpResponse control(String body) {
		return Json.accept(body, LogControl.class, this.log::control);
	}

	private CompletionStage<HttpResponse> append(HttpRequest request, String stream, String body) {
		if (this.log.isOutage()) {
			return delayed(Json.error(503, "outage"));
		}
		if (!this.log.tryAppend()) {
			return delayed(Json.error(429, "over the append rate"));
		}
		try {
			long firstOffset = this.log.store().append(stream, Json.read(body, AppendRequest.class).records());
			if (this.log.tryLoseResponse()) {
				HttpEndpoint.abortConnection(request);
				return new CompletableFuture<>();
			}
			return delayed(Json.ok(new AppendResponse(firstOffset)));
		}
		catch (JsonProcessingException ex) {
			return delayed(Json.error(400, ex.getOriginalMessage()));
		}
	}

	private CompletionStage<HttpResponse> read(String stream, long from, int limit) {
		if (this.log.isOutage()) {
			return delayed(Json.error(503, "outage"));
		}
		LogSlice slice = this.log.store().read(stream, from, Math.min(limit, MAX_READ_COUNT));
		List<ReadRecord> records = slice.records().stream().map(ReadRecord::of).toList();
		return delayed(Json.ok(new ReadResponse(slice.firstOffset(), slice.nextOffset(), records)));
	}

	private CompletionStage<HttpResponse> delayed(HttpResponse response) {
		CompletableFuture<HttpResponse> promise = new CompletableFuture<>();
		Duration delay = Duration.ofMillis(this.log.delayMillis());
		if (delay.isZero()) {
			promise.complete(response);
		}
		else {
			this.system.timer().schedule(() -> promise.complete(response), delay.toMillis(), TimeUnit.MILLISECONDS);
		}
		return promise;
	}

	private record AppendRequest(List<String> records) {
	}

	private record AppendResponse(long firstOffset) {
	}

	private record ReadRecord(long offset, long timeMs, String data) {

		static ReadRecord of(LogRecord logRecord) {
			return new ReadRecord(logRecord.offset(), logRecord.timeMillis(), logRecord.data());
		}

	}

	private record ReadResponse(long firstOffset, long nextOffset, List<ReadRecord> records) {
	}

}
