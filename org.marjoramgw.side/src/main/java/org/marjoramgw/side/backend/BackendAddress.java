package org.marjoramgw.side.backend;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ConnectHttp;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.StreamTcpException;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.marjoramgw.ResultCode;

/**
 * Address of the backend server, reached with a new connection for each call.
 * <p>
 * A pooled connection that the server closes just then leaves it unknown whether the call
 * ran; a new one that can't be opened says for certain that it didn't.
 *
 * @author The marjoramgw authors
 */
public final class BackendAddress {

	private final ActorSystem<?> system;

	private final ConnectHttp target;

	/**
	 * Creates an address.
	 * @param system the actor system that runs the calls
	 * @param url base URL of the backend server
	 */
	public BackendAddress(ActorSystem<?> system, String url) {
		this.system = system;
		this.target = ConnectHttp.toHost(url);
	}

	/**
	 * Sends a request.
	 * @param request the request with a path alone as its URI
	 * @param killSwitch closes the connection when it is aborted
	 * @return completes with the head of the answer
	 */
	public CompletionStage<HttpResponse> send(HttpRequest request, SharedKillSwitch killSwitch) {
		return Source.single(request)
			.via(killSwitch.flow())
			.via(Http.get(this.system).outgoingConnection(this.target))
			.runWith(Sink.head(), this.system);
	}

	/**
	 * Tells what a failure of {@link #send} says about the call.
	 * @param failure the failure
	 * @return {@link ResultCode#BACKEND_UNREACHABLE} if nothing was sent, else
	 * {@link ResultCode#BACKEND_BROKE_OFF}
	 */
	public static ResultCode codeOf(Throwable failure) {
		Throwable cause = failure;
		while (cause instanceof java.util.concurrent.CompletionException && cause.getCause() != null) {
			cause = cause.getCause();
		}
		boolean connectFailed = cause instanceof StreamTcpException
				&& String.valueOf(cause.getMessage()).contains("connect");
		return connectFailed ? ResultCode.BACKEND_UNREACHABLE : ResultCode.BACKEND_BROKE_OFF;
	}

}
