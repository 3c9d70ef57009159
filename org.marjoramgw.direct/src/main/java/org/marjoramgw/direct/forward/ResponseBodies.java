package org.marjoramgw.direct.forward;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
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
	 * Streams the body of a response.
	 * @param response the response
	 * @param observer observer of the start and end of the body
	 * @return the entity to send to the caller
	 */
	static ResponseEntity stream(HttpResponse response, BodyObserver observer) {
		return HttpEntities.createChunked(response.entity().getContentType(),
				response.entity().getDataBytes().via(new ObservedBody(observer)));
	}

}
