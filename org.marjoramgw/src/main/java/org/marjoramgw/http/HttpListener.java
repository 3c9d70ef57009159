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
 * Listens for HTTP requests without encryption that are answered at once.
 *
 * @author The marjoramgw authors
 */
public final class HttpListener {

	/** Connections that may wait to be accepted. */
	private static final int BACKLOG = 64;

	private final ActorSystem<?> system;

	private final BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> serverLayer;

	/**
	 * Creates a listener.
	 * @param system the actor system
	 * @param settings how requests are parsed
	 */
	public HttpListener(ActorSystem<?> system, ServerSettings settings) {
		this.system = system;
		this.serverLayer = PlainBytes.serverLayer(system, settings);
	}

	/**
	 * Starts listening.
	 * @param address where to listen
	 * @param handler answers a request
	 * @return the binding once it is open
	 */
	public CompletionStage<Tcp.ServerBinding> bind(HostPort address, Function<HttpRequest, HttpResponse> handler) {
		Flow<HttpRequest, HttpResponse, NotUsed> answers = Flow.<HttpRequest>create().map(handler);
		Flow<ByteString, ByteString, NotUsed> bytes = this.serverLayer.reversed().join(answers);
		return CompletionStages.withDirectExecutor(Tcp.get(this.system)
			.bind(address.host(), address.port(), BACKLOG, Collections.emptyList(), false, Optional.empty())
			.to(Sink.foreach((connection) -> connection.handleWith(bytes, this.system)))
			.run(this.system));
	}

}
