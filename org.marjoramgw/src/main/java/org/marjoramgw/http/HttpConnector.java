package org.marjoramgw.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Host;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.io.Inet;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.SourceQueueWithComplete;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.stream.scaladsl.TcpAttributes;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.CompletionStages;
import org.marjoramgw.HostPort;

/**
 * Opens individual HTTP client connections outside any connection pool; the caller
 * manages their reuse and closes them. Requests must carry their own {@code Host} header.
 *
 * @author The marjoramgw authors
 */
public final class HttpConnector {

	/**
	 * Chunks of bytes read ahead of the response parser, so that the end of a connection
	 * is noticed early.
	 */
	private static final int READ_AHEAD_CHUNKS = 4;

	private static final List<Inet.SocketOption> NO_DELAY = List.of(TcpSO.tcpNoDelay(true));

	private final ActorSystem<?> system;

	private final StrayBytes strayBytes;

	/**
	 * Shared by all connections, since building it fills a table of all known headers.
	 */
	private final BidiFlow<HttpRequest, ByteString, ByteString, HttpResponse, NotUsed> clientLayer;

	/**
	 * Creates a connector.
	 * @param system actor system that runs the connections
	 * @param settings parser limits for responses
	 * @param strayBytes receiver of reports on bytes that belong to no response
	 */
	public HttpConnector(ActorSystem<?> system, ClientConnectionSettings settings, StrayBytes strayBytes) {
		LibraryClasses.initialize();
		this.system = system;
		this.strayBytes = strayBytes;
		BidiFlow<HttpRequest, TLSProtocol.SslTlsOutbound, TLSProtocol.SslTlsInbound, HttpResponse, NotUsed> httpLayer = Http
			.get(system)
			.clientLayer(Host.create(""), settings);
		this.clientLayer = httpLayer.atop(PlaintextLayers.tlsPlacebo());
	}

	/**
	 * Opens a connection.
	 * @param address address of the server
	 * @param timeoutMillis connect timeout, in milliseconds
	 * @return the established connection; fails if it could not be established, in which
	 * case nothing was sent
	 */
	public CompletionStage<HttpConnection> connect(HostPort address, long timeoutMillis) {
		HttpConnection connection = new HttpConnection(address, this.strayBytes);
		Flow<ByteString, ByteString, CompletionStage<Tcp.OutgoingConnection>> tcpFlow = Tcp.get(this.system)
			.outgoingConnection(address.toSocketAddress(), Optional.<InetSocketAddress>empty(), NO_DELAY, true,
					Optional.of(Duration.ofMillis(timeoutMillis)), Optional.empty())
			.addAttributes(TcpAttributes.tcpWriteBufferSize(RequestWriter.WRITE_BUFFER_BYTES));
		BidiFlow<ByteString, ByteString, ByteString, ByteString, UniqueKillSwitch> killSwitchLayer = BidiFlow
			.fromGraph(KillSwitches.<ByteString, ByteString>singleBidi());
		Flow<ByteString, ByteString, MaterializedTcp> transport = Flow.<ByteString>create()
			.via(new RequestWriter(connection))
			.viaMat(killSwitchLayer.join(tcpFlow, MaterializedTcp::new), Keep.right())
			.via(Flow.<ByteString>create()
				.map(connection::onBytes)
				.filter(ByteString::nonEmpty)
				.buffer(READ_AHEAD_CHUNKS, OverflowStrategy.backpressure())
				.via(new ResponseHeadLimiter(connection)));
		Pair<SourceQueueWithComplete<HttpRequest>, MaterializedTcp> materialized = Source
			.<HttpRequest>queue(1, OverflowStrategy.dropNew())
			.viaMat(this.clientLayer.join(transport, Keep.right()), Keep.both())
			.to(Sink.foreach(connection::onResponse)
				.<CompletionStage<?>>mapMaterializedValue(
						(done) -> CompletionStages.withDirectExecutor(done).whenComplete(connection::onTermination)))
			.run(this.system);
		connection.onStarted(materialized.first(), materialized.second().killSwitch());
		return whenOpen(connection, materialized.second().opened());
	}

	private static CompletionStage<HttpConnection> whenOpen(HttpConnection connection,
			CompletionStage<Tcp.OutgoingConnection> opened) {
		CompletableFuture<HttpConnection> result = new CompletableFuture<>();
		CompletionStages.withDirectExecutor(opened).whenComplete((ignored, failure) -> {
			if (failure != null) {
				connection.close();
				result.completeExceptionally(failure);
			}
			else {
				result.complete(connection);
			}
		});
		return result;
	}

	private record MaterializedTcp(UniqueKillSwitch killSwitch, CompletionStage<Tcp.OutgoingConnection> opened) {
	}

}
