package org.marjoramgw.direct.forward;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.direct.model.BackendServer;

/**
 * Reads in the heads of responses that backend servers leave or want no requests for a
 * time; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class ServerNotices {

	private final ForwardingContext context;

	/**
	 * Creates a reader.
	 * @param context shared components
	 */
	ServerNotices(ForwardingContext context) {
		this.context = context;
	}

	/**
	 * Reads the head of a response before anything else is done with it, also if its
	 * request has ended meanwhile.
	 * @param server server that the request was sent to
	 * @param requestId id of the request
	 * @param reused whether the connection carried other requests before
	 * @param head head of the response
	 * @return the head, after it was read
	 */
	CompletionStage<HttpResponse> observe(BackendServer server, String requestId, boolean reused,
			CompletionStage<HttpResponse> head) {
		CompletableFuture<HttpResponse> observed = new CompletableFuture<>();
		head.whenComplete((response, failure) -> {
			if (failure != null) {
				observed.completeExceptionally(failure);
				return;
			}
			if (this.context.backendDialect().announcesLeaving(response, server.id(), requestId, reused)) {
				onLeaving(server);
			}
			this.context.backendDialect()
				.pauseMillis(response, server.id(), requestId, reused)
				.ifPresent((millis) -> onPause(server, millis));
			observed.complete(response);
		});
		return observed;
	}

	private void onPause(BackendServer server, long millis) {
		if (this.context.directory().onPause(server, millis)) {
			this.context.requestLog().countPausedServer();
			this.context.prefillLimiter().startWaiting(server.id());
		}
	}

	private void onLeaving(BackendServer server) {
		if (this.context.directory().onLeaving(server)) {
			this.context.requestLog().countLeavingServer();
			this.context.prefillLimiter().startWaiting(server.id());
		}
	}

}
