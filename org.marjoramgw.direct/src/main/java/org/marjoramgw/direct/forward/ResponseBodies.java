package org.marjoramgw.direct.forward;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.marjoramgw.CompletionStages;

/**
 * Bodies of backend servers' answers on their way to callers.
 *
 * @author The marjoramgw authors
 */
final class ResponseBodies {

	/** Greatest plain answer that is held in memory, in bytes. */
	private static final long MAX_BUFFERED_BYTES = 8L << 20;

	private ResponseBodies() {
	}

	/**
	 * Reads a plain answer to its end.
	 * @param response the answer
	 * @param timeoutMillis how long that may take, in milliseconds
	 * @param system the actor system
	 * @return the whole body; fails if it broke off, is too large or takes too long
	 */
	static CompletionStage<HttpEntity.Strict> readFully(HttpResponse response, long timeoutMillis,
			ActorSystem<?> system) {
		return CompletionStages
			.withDirectExecutor(response.entity().toStrict(Math.max(1, timeoutMillis), MAX_BUFFERED_BYTES, system));
	}

	/**
	 * Passes a stream on as it comes.
	 * @param response the answer
	 * @param observer hears how it begins and ends
	 * @return the body for the caller
	 */
	static ResponseEntity stream(HttpResponse response, BodyObserver observer) {
		return HttpEntities.createChunked(response.entity().getContentType(),
				response.entity().getDataBytes().via(new ObservedBody(observer)));
	}

}
