package org.marjoramgw.http;

import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;

import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.RequestEntity;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.japi.function.Function;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.CompletionStages;

/**
 * Requests of one connection: observes the ends of their bodies and responses, and
 * charges complete responses until they are written.
 *
 * @author The marjoramgw authors
 */
final class ServedRequests {

	/** Size up to which a response is written in one piece and not charged. */
	private static final int PIECE_BYTES = 16 << 10;

	private final ServedConnection connection;

	private boolean misread;

	ServedRequests(ServedConnection connection) {
		this.connection = connection;
	}

	/**
	 * Handles the next request. One whose head was misread is the last, since its body
	 * may follow as if it were a request.
	 * @param request the request
	 * @param handler returns its response, with which it closes the connection if the
	 * head was misread
	 * @return the response; never completes behind a misread head
	 * @throws Exception if the handler throws it
	 */
	CompletionStage<HttpResponse> handle(HttpRequest request,
			Function<HttpRequest, CompletionStage<HttpResponse>> handler) throws Exception {
		if (this.misread) {
			return new CompletableFuture<>();
		}
		this.misread = !HeaderText.isIntact(request);
		this.connection.onRequest(request.entity());
		return handler.apply(request.withEntity(observeBody(request.entity()))).thenApply(this::observeResponse);
	}

	private RequestEntity observeBody(RequestEntity entity) {
		if (entity.isStrict()) {
			this.connection.onBodyEnd();
			return entity;
		}
		Flow<ByteString, ByteString, NotUsed> observed = Flow.<ByteString>create().map((piece) -> {
			this.connection.onBodyData();
			return piece;
		}).via(onEnd(this.connection::onBodyEnd));
		if (entity.getContentLengthOption().isPresent()) {
			return HttpEntities.create(entity.getContentType(), entity.getContentLengthOption().getAsLong(),
					entity.getDataBytes().via(observed));
		}
		return HttpEntities.createChunked(entity.getContentType(), entity.getDataBytes().via(observed));
	}

	private HttpResponse observeResponse(HttpResponse response) {
		if (!(response.entity() instanceof HttpEntity.Strict complete)) {
			return response.transformEntityDataBytes(onEnd(this.connection::onResponseEnd));
		}
		if (complete.getData().size() <= PIECE_BYTES) {
			this.connection.onResponseEnd();
			return response;
		}
		return response.withEntity(charge(complete));
	}

	private ResponseEntity charge(HttpEntity.Strict complete) {
		ByteString data = complete.getData();
		this.connection.held().add(data.size());
		Source<ByteString, NotUsed> pieces = Source.fromIterator(() -> pieces(data)).via(onEnd(() -> {
			this.connection.held().add(-data.size());
			this.connection.onResponseEnd();
		}));
		return HttpEntities.create(complete.getContentType(), data.size(), pieces);
	}

	private static Iterator<ByteString> pieces(ByteString data) {
		return IntStream.iterate(0, (offset) -> offset < data.size(), (offset) -> offset + PIECE_BYTES)
			.mapToObj((offset) -> data.slice(offset, offset + PIECE_BYTES))
			.iterator();
	}

	private static Flow<ByteString, ByteString, NotUsed> onEnd(Runnable action) {
		return Flow.<ByteString>create().watchTermination((unused, done) -> {
			CompletionStages.withDirectExecutor(done).whenComplete((value, failure) -> action.run());
			return unused;
		});
	}

}
