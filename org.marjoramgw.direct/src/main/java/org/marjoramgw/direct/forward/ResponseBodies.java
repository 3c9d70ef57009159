package org.marjoramgw.direct.forward;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.CompletionStages;

/**
 * Reads and streams the response bodies of backend servers.
 *
 * @author The marjoramgw authors
 */
final class ResponseBodies {

	/** Maximum size of a response that is buffered in memory, in bytes. */
	private static final long MAX_BUFFERED_BYTES = 8L << 20;

	private ResponseBodies() {
	}

	/**
	 * Reads the complete body of a response into memory.
	 * @param response the response
	 * @param timeoutMillis timeout, in milliseconds
	 * @param system the actor system
	 * @return the body; fails if it is incomplete, too large or not received in time
	 */
	static CompletionStage<HttpEntity.Strict> readFully(HttpResponse response, long timeoutMillis,
			ActorSystem<?> system) {
		return CompletionStages
			.withDirectExecutor(response.entity().toStrict(Math.max(1, timeoutMillis), MAX_BUFFERED_BYTES, system));
	}

	/**
	 * Creates the entity of a streamed response to a caller.
	 * @param response response of the backend server
	 * @param body bytes for the caller
	 * @return the entity
	 */
	static ResponseEntity streamed(HttpResponse response, Source<ByteString, ?> body) {
		return HttpEntities.createChunked(response.entity().getContentType(),
				body.mapMaterializedValue((value) -> value));
	}

}
