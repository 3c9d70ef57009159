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
 * Address of the backend server, reached with a new connection for each call.
 * <p>
 * A pooled connection that the server closes just then leaves it unknown whether the call
 * ran; a new one that can't be opened says for certain that it didn't.
 *
 * @author The marjoramgw authors
 */
public final class BackendHttpClient {

	private final ActorSystem<?> system;

	private final ConnectHttp target;

	/**
	 * Creates an address.
	 * @param system the actor system that runs the calls
	 * @param url base URL of the backend server
	 */
	public BackendHttpClient(ActorSystem<?> system, String url) {
		this.system = system;
		this.target = ConnectHttp.toHost(url);
	}

	/**
	 * Sends a request.
	 * @param request the request with a path alone as its URI
	 * @param killSwitch closes the connection when it is aborted
	 * @return the call under way
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
	 * Call under way.
	 *
	 * @param connection completes once the connection is open, and fails if it can't be
	 * opened
	 * @param response completes with the head of the answer
	 */
	public record PendingCall(CompletionStage<OutgoingConnection> connection, CompletionStage<HttpResponse> response) {

		/**
		 * Handles the head of the answer, or the failure to get one.
		 * @param onResponse takes the answer
		 * @param onFailure takes {@link ResultCode#BACKEND_UNREACHABLE} if no connection
		 * was opened, so that nothing was sent, else {@link ResultCode#BACKEND_BROKE_OFF}
		 */
		public void handle(Consumer<HttpResponse> onResponse, Consumer<ResultCode> onFailure) {
			this.response.whenComplete((head, failure) -> {
				if (failure == null) {
					onResponse.accept(head);
				}
				else {
					this.connection.whenComplete((open, refused) -> onFailure
						.accept((refused != null) ? ResultCode.BACKEND_UNREACHABLE : ResultCode.BACKEND_BROKE_OFF));
				}
			});
		}

	}

}
