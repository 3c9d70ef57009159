package org.marjoramgw.side.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.KillSwitches;
import org.marjoramgw.ResultCode;
import org.marjoramgw.side.backend.Backend;
import org.marjoramgw.side.backend.BackendExecution;
import org.marjoramgw.side.backend.BackendHttpClient;
import org.marjoramgw.side.backend.BackendListener;
import org.marjoramgw.side.backend.BackendRequest;

/**
 * Client of a model engine that streams tokens as server-sent events over HTTP.
 *
 * @author The marjoramgw authors
 */
public final class EngineBackend implements Backend {

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final String REQUESTS_PATH = "/v1/requests/";

	private final ActorSystem<?> system;

	private final BackendHttpClient client;

	private final ChatJsonCodec codec = new ChatJsonCodec();

	/**
	 * Creates a client.
	 * @param system the actor system that runs the HTTP calls
	 * @param url base URL of the engine
	 */
	public EngineBackend(ActorSystem<?> system, String url) {
		this.system = system;
		this.client = new BackendHttpClient(system, url);
	}

	@Override
	public BackendExecution start(BackendRequest request, BackendListener listener) {
		EngineStream stream = new EngineStream(this.system, this.codec, listener);
		try {
			HttpRequest httpRequest = HttpRequest.POST(CHAT_PATH)
				.withEntity(ContentTypes.APPLICATION_JSON, this.codec.encodeRequest(request));
			this.client.send(httpRequest, stream.killSwitch()).handle(stream::onResponse, stream::fail);
		}
		catch (JsonProcessingException ex) {
			listener.onFailure(ResultCode.MALFORMED_REQUEST);
		}
		return () -> {
			stream.stop();
			cancelAtEngine(request.executionId());
		};
	}

	private void cancelAtEngine(String executionId) {
		HttpRequest cancel = HttpRequest.create(REQUESTS_PATH + executionId).withMethod(HttpMethods.DELETE);
		this.client.send(cancel, KillSwitches.shared(executionId))
			.response()
			.thenAccept((response) -> response.discardEntityBytes(this.system));
	}

}
