package org.marjoramgw.direct.stream;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.direct.caller.Resumption;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.policy.stream.StreamOrigin;

/**
 * Software versions at which streams begin and go on; thread-safe.
 *
 * @author The marjoramgw authors
 */
public interface StreamVersions {

	/**
	 * Versions that nobody shares: streams begin anywhere, and none is known to be taken
	 * up.
	 */
	StreamVersions NONE = new StreamVersions() {

		@Override
		public boolean mayBegin(BackendServer server) {
			return true;
		}

		@Override
		public StreamOrigin originAt(BackendServer server) {
			return new StreamOrigin(server.service(), Optional.of(server.version()));
		}

		@Override
		public void onBegun(String requestId, StreamOrigin origin, BackendServer server) {
			// Nobody takes the stream up.
		}

		@Override
		public CompletionStage<Optional<StreamOrigin>> locate(Resumption resumption, String service) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

	};

	/**
	 * Tells whether a new stream may begin at a server.
	 * @param server the server
	 * @return whether its version is marked
	 */
	boolean mayBegin(BackendServer server);

	/**
	 * Returns the origin of a stream whose first event has just come.
	 * @param server the server that it came from, as it was registered when the request
	 * was sent
	 * @return the origin; its version isn't known if the server was started again
	 */
	StreamOrigin originAt(BackendServer server);

	/**
	 * Records that the first event of a response came, which the caller may name when it
	 * takes the stream up.
	 * @param requestId id of the request
	 * @param origin origin of its stream
	 * @param server the server that the event came from
	 */
	void onBegun(String requestId, StreamOrigin origin, BackendServer server);

	/**
	 * Finds out where a stream that is taken up began.
	 * @param resumption what the caller says of it
	 * @param service service to which its request would go
	 * @return the origin, or empty if nobody can say
	 */
	CompletionStage<Optional<StreamOrigin>> locate(Resumption resumption, String service);

}
