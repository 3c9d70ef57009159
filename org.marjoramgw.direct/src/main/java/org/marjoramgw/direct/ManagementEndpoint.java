package org.marjoramgw.direct;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.stream.javadsl.Tcp;
import org.marjoramgw.HostPort;
import org.marjoramgw.http.HttpListener;

/**
 * Small endpoint that answers some paths without a body of the request being read.
 *
 * @author The marjoramgw authors
 */
final class ManagementEndpoint {

	private final ActorSystem<?> system;

	private final HttpListener listener;

	private final Map<String, Supplier<HttpResponse>> answerByPath;

	ManagementEndpoint(ActorSystem<?> system, HttpListener listener, Map<String, Supplier<HttpResponse>> answerByPath) {
		this.system = system;
		this.listener = listener;
		this.answerByPath = answerByPath;
	}

	CompletionStage<Tcp.ServerBinding> bind(HostPort address) {
		return this.listener.bind(address, this::answer);
	}

	private HttpResponse answer(HttpRequest request) {
		request.discardEntityBytes(this.system);
		Supplier<HttpResponse> answer = this.answerByPath.get(request.getUri().path());
		return (answer != null) ? answer.get() : HttpResponse.create().withStatus(StatusCodes.NOT_FOUND);
	}

}
