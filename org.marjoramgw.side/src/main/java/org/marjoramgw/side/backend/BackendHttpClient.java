package org.marjoramgw.side.backend;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ConnectHttp;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.marjoramgw.ResultCode;

/**
 * HTTP client of the backend server that opens a new connection for each call.
 * <p>
 * If the server closes a pooled connection while a call is sent on it, it is unknown
 * whether the call ran. If a new connection can't be opened, the call certainly did not
 * run.
 *
 * @author The marjoramgw authors
 */
public final class BackendHttpClient {

	private final ActorSystem<?> system;

	private final ConnectHttp target;

	/**
	 * Creates a client.
	 * @param system the actor system that runs the calls
	 * @param url base URL of the backend server
	 */
	public BackendHttpClient(ActorSystem<?> system, String url) {
		this.system = system;
		this.target = ConnectHttp.toHost(url);
	}

	/**
	 * Sends a request.
	 * @param request the request, whose URI is a path without scheme and host
	 * @param killSwitch closes the connection when aborted
	 * @return the pending call
	 */
	public PendingCall send(HttpRequest request, SharedKillSwitch killSwitch) {
		Pair<CompletionStage<OutgoingConnection>, CompletionStage<HttpResponse>> started = Source.single(request)
			.via(killSwitch.flow())
			.viaMat(Http.get(this.system).outgoingConnection(this.target), Keep.right())
			.toMat(Sink.head(), Keep.both())
			.run(this.system);
		return new PendingCall(started.first(), started.second());
	}

	/**
	 * Call whose response has not been handled yet.
	 *
	 * @param connection completes when the connection is established, or fails if it
	 * can't be established
	 * @param response completes with the status line and headers of the response
	 */
	public record PendingCall(CompletionStage<OutgoingConnection> connection, CompletionStage<HttpResponse> response) {

		/**
		 * Registers handlers for the response and for its failure.
		 * @param onResponse receives the response once its headers have arrived
		 * @param onFailure receives {@link ResultCode#BACKEND_UNREACHABLE} if no
		 * connection was established, so that nothing was sent, else
		 * {@link ResultCode#BACKEND_BROKE_OFF}
		 */
		public void handle(Consumer<HttpResponse> onResponse, Consumer<ResultCode> onFailure) {
			this.response.whenComplete((httpResponse, failure) -> {
				if (failure == null) {
					onResponse.accept(httpResponse);
				}
				else {
					this.connection.whenComplete((connected, connectFailure) -> onFailure.accept(
							(connectFailure != null) ? ResultCode.BACKEND_UNREACHABLE : ResultCode.BACKEND_BROKE_OFF));
				}
			});
		}

	}

}
