package org.marjoramgw.standin;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.AttributeKey;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.TLSProtocol.SessionBytes;
import org.apache.pekko.stream.TLSProtocol.SslTlsInbound;
import org.apache.pekko.stream.TLSProtocol.SslTlsOutbound;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.HostPort;

/**
 * HTTP server endpoint whose connections can be aborted without a response, to inject
 * faults.
 *
 * @author The marjoramgw authors
 */
public final class HttpEndpoint implements AutoCloseable {

	private static final AttributeKey<Runnable> CONNECTION_ABORTER = AttributeKey.create("cut", Runnable.class);

	private static final int BACKLOG_CONNECTIONS = 512;

	private static final long BIND_TIMEOUT_MILLIS = 10_000;

	private final StandinSystem system;

	private final Route route;

	private final Set<UniqueKillSwitch> connections = ConcurrentHashMap.newKeySet();

	private HostPort address;

	private Tcp.ServerBinding binding;

	private volatile boolean refusingConnections;

	/**
	 * Creates an endpoint and starts listening.
	 * @param system the shared actor system and timer
	 * @param address address to bind; port 0 selects a free port
	 * @param route routes that handle the requests
	 */
	public HttpEndpoint(StandinSystem system, HostPort address, Route route) {
		this.system = system;
		this.route = route;
		this.address = address;
		listen();
	}

	/**
	 * Returns the address that the endpoint is bound to, or was bound to last.
	 * @return the bound address
	 */
	public synchronized HostPort address() {
		return this.address;
	}

	/**
	 * Binds the address again after {@link #refuseConnections()}; does nothing if the
	 * endpoint is listening.
	 */
	public synchronized void listen() {
		if (this.binding != null) {
			return;
		}
		this.refusingConnections = false;
		this.binding = await(Tcp.get(this.system.actors())
			.bind(this.address.host(), this.address.port(), BACKLOG_CONNECTIONS, List.of(TcpSO.tcpNoDelay(true)), false,
					Optional.empty())
			.to(Sink.foreach(this::accept))
			.run(this.system.actors()));
		this.address = new HostPort(this.address.host(), this.binding.localAddress().getPort());
	}

	/**
	 * Unbinds the address, which refuses new connections, and aborts the open ones.
	 */
	public synchronized void refuseConnections() {
		if (this.binding == null) {
			return;
		}
		this.refusingConnections = true;
		await(this.binding.unbind());
		this.binding = null;
		this.connections.forEach((connection) -> connection.abort(new IOException("endpoint refuses connections")));
	}

	/**
	 * Aborts the connection of a request without sending a response.
	 * @param request the request
	 */
	public static void abortConnection(HttpRequest request) {
		request.getAttribute(CONNECTION_ABORTER).ifPresent(Runnable::run);
	}

	@Override
	public void close() {
		refuseConnections();
	}

	private void accept(Tcp.IncomingConnection incoming) {
		UniqueKillSwitch connection = incoming.flow()
			.viaMat(KillSwitches.single(), Keep.right())
			.watchTermination((killSwitch, done) -> {
				this.connections.add(killSwitch);
				done.whenComplete((value, failure) -> this.connections.remove(killSwitch));
				return killSwitch;
			})
			.joinMat(tcpFlow(), Keep.both())
			.mapMaterializedValue((pair) -> {
				pair.second().connection = pair.first();
				return pair.first();
			})
			.run(this.system.actors());
		if (this.refusingConnections) {
			connection.abort(new IOException("endpoint refuses connections"));
		}
	}

	private Flow<ByteString, ByteString, ConnectionAborter> tcpFlow() {
		ConnectionAborter cutter = new ConnectionAborter();
		Flow<HttpRequest, HttpResponse, NotUsed> handler = Flow.of(HttpRequest.class)
			.map((request) -> request.addAttribute(CONNECTION_ABORTER, cutter))
			.via(this.route.flow(this.system.actors()));
		return Http.get(this.system.actors())
			.serverLayer()
			.atop(tlsPlacebo())
			.reversed()
			.join(handler)
			.mapMaterializedValue((unused) -> cutter);
	}

	private static BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, NotUsed> tlsPlacebo() {
		Flow<SslTlsOutbound, SslTlsOutbound, NotUsed> outbound = Flow.create();
		Flow<SessionBytes, SslTlsInbound, NotUsed> inbound = Flow.of(SessionBytes.class).map((bytes) -> bytes);
		return BidiFlow.fromFlows(outbound, inbound).atop(TLSPlacebo.getInstance());
	}

	private static <T> T await(CompletionStage<T> stage) {
		try {
			return stage.toCompletableFuture().get(BIND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private static final class ConnectionAborter implements Runnable {

		private volatile UniqueKillSwitch connection;

		@Override
		public void run() {
			UniqueKillSwitch current = this.connection;
			if (current != null) {
				current.abort(new IOException("connection aborted by fault injection"));
			}
		}

	}

}
