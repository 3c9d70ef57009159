package org.marjoramgw.standin.plainservice;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.marjoramgw.standin.HttpEndpoint;
import org.marjoramgw.standin.HttpStandin;
import org.marjoramgw.standin.Json;
import org.marjoramgw.standin.StandinSystem;

/**
 * Plain service stand-in that serves any path and records every execution.
 *
 * @author The marjoramgw authors
 */
public final class PlainStandin extends HttpStandin {

	private final PlainSettings settings;

	private final Deque<PlainExecution> executions = new ArrayDeque<>();

	private volatile long delayMillis;

	private volatile int status = 200;

	private volatile boolean breakAfterRun;

	private PlainStandin(StandinSystem system, PlainSettings settings) {
		super(system, settings.httpAddress());
		this.settings = settings;
		this.delayMillis = settings.delayMillis();
	}

	/**
	 * Starts a stand-in.
	 * @param system the shared actor system and timer
	 * @param settings its settings
	 * @return the running stand-in
	 */
	public static PlainStandin start(StandinSystem system, PlainSettings settings) {
		return startListening(new PlainStandin(system, settings));
	}

	/**
	 * Applies fault settings.
	 * @param control the faults
	 */
	public void control(PlainControl control) {
		if (control.delayMs() != null) {
			this.delayMillis = control.delayMs();
		}
		if (control.status() != null) {
			this.status = control.status();
		}
		if (control.breakAfterRun() != null) {
			this.breakAfterRun = control.breakAfterRun();
		}
	}

	/**
	 * Returns the recorded executions.
	 * @return the executions, oldest first
	 */
	public List<PlainExecution> executions() {
		synchronized (this.executions) {
			return List.copyOf(this.executions);
		}
	}

	@Override
	protected Route route() {
		return concat(controlRoute(PlainControl.class, this::control),
				path(PathMatchers.segment("control").slash("executions"),
						() -> get(() -> complete(Json.ok(Map.of("executions", executions()))))),
				extractRequest((request) -> entity(Unmarshaller.entityToString(),
						(body) -> completeWithFuture(run(request, body)))));
	}

	private CompletionStage<HttpResponse> run(HttpRequest request, String body) {
		int executionNumber = record(request, body);
		CompletableFuture<HttpResponse> promise = new CompletableFuture<>();
		system().timer().schedule(() -> {
			if (this.breakAfterRun) {
				HttpEndpoint.abortConnection(request);
				return;
			}
			HttpResponse response = Json.ok(Map.of("run", executionNumber, "echo", body));
			promise.complete(response.withStatus(StatusCodes.get(this.status)));
		}, this.delayMillis, TimeUnit.MILLISECONDS);
		return promise;
	}

	private int record(HttpRequest request, String body) {
		String requestId = request.getHeader("X-Request-Id").map(HttpHeader::value).orElse("");
		PlainExecution execution = new PlainExecution(requestId, request.method().name(),
				request.getUri().getPathString(), body, system().clock().nowMillis());
		synchronized (this.executions) {
			if (this.executions.size() >= this.settings.executionCount()) {
				this.executions.removeFirst();
			}
			this.executions.addLast(execution);
			return this.executions.size();
		}
	}

}
