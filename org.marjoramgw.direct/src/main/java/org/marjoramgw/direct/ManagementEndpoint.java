package org.marjoramgw.direct;

import java.util.Map;
import java.util.function.Function;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.marjoramgw.HostPort;
import org.marjoramgw.http.HttpListener;
import org.marjoramgw.program.ExitCode;
import org.tinylog.Logger;

/**
 * HTTP endpoint for health, metrics and explanations. Responds by path and discards
 * request bodies.
 *
 * @author The marjoramgw authors
 */
final class ManagementEndpoint {

	private final ActorSystem<?> system;

	private final HttpListener listener;

	private final Map<String, Function<HttpRequest, HttpResponse>> responseByPath;

	ManagementEndpoint(ActorSystem<?> system, HttpListener listener,
			Map<String, Function<HttpRequest, HttpResponse>> responseByPath) {
		this.system = system;
		this.listener = listener;
		this.responseByPath = responseByPath;
	}

	/**
	 * Starts listening. The process ends at once if the address can't be bound.
	 * @param name name of the endpoint, for the log
	 * @param address address to listen on
	 */
	void bindOrHalt(String name, HostPort address) {
		this.listener.bind(address, this::respond).whenComplete((binding, failure) -> {
			if (failure != null) {
				Logger.error(failure, "can't bind the {} endpoint", name);
				Runtime.getRuntime().halt(ExitCode.FAILURE);
			}
		});
	}

	private HttpResponse respond(HttpRequest request) {
		request.discardEntityBytes(this.system);
		Function<HttpRequest, HttpResponse> response = this.responseByPath.get(request.getUri().path());
		return (response != null) ? response.apply(request) : HttpResponse.create().withStatus(StatusCodes.NOT_FOUND);
	}

}
