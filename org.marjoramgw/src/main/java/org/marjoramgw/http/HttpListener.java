package org.marjoramgw.http;

import java.util.Collections;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.japi.function.Function;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.CompletionStages;
import org.marjoramgw.HostPort;

/**
 * Plaintext HTTP server for requests that a synchronous handler answers.
 *
 * @author The marjoramgw authors
 */
public final class HttpListener {

	/** Length of the queue of connections that have not been accepted yet. */
	private static final int BACKLOG_CONNECTIONS = 64;

	private final ActorSystem<?> system;

	private final BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> serverLayer;

	/**
	 * Creates a listener.
	 * @param system actor system that runs the connections
	 * @param settings parser and connection settings of the server
	 */
	public HttpListener(ActorSystem<?> system, ServerSettings settings) {
		this.system = system;
		this.serverLayer = PlaintextLayers.serverLayer(system, settings);
	}

	/**
	 * Binds a listening socket.
	 * @param address address to bind; port 0 picks any free port
	 * @param handler returns the response to a request; it must not block
	 * @return the binding, once the socket is bound
	 */
	public CompletionStage<Tcp.ServerBinding> bind(HostPort address, Function<HttpRequest, HttpResponse> handler) {
		Flow<HttpRequest, HttpResponse, NotUsed> responseFlow = Flow.<HttpRequest>create().map(handler);
		Flow<ByteString, ByteString, NotUsed> connectionFlow = this.serverLayer.reversed().join(responseFlow);
		return CompletionStages.withDirectExecutor(Tcp.get(this.system)
			.bind(address.host(), address.port(), BACKLOG_CONNECTIONS, Collections.emptyList(), false, Optional.empty())
			.to(Sink.foreach((connection) -> connection.handleWith(connectionFlow, this.system)))
			.run(this.system));
	}

}
