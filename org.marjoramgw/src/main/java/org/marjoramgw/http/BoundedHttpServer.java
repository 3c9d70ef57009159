package org.marjoramgw.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.japi.function.Function;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.CompletionStages;
import org.marjoramgw.HostPort;

/**
 * Plaintext HTTP server whose connections, request heads and responses are bounded by
 * {@link CallerSettings} and charged to a {@link MemoryBudget}.
 *
 * @author The marjoramgw authors
 */
public final class BoundedHttpServer {

	/** Length of the queue of connections that have not been accepted yet. */
	private static final int BACKLOG_CONNECTIONS = 128;

	private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

	private final ActorSystem<?> system;

	private final CallerSettings limits;

	private final MemoryBudget budget;

	private final int maxConnections;

	private final BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> serverLayer;

	private final Set<ServedConnection> connections = ConcurrentHashMap.newKeySet();

	private final ServerReport report;

	/**
	 * Creates a server.
	 * @param system actor system that runs the connections
	 * @param limits limits on the callers
	 * @param budget memory budget that the connections share with the handler
	 */
	public BoundedHttpServer(ActorSystem<?> system, CallerSettings limits, MemoryBudget budget) {
		this.system = system;
		this.limits = limits;
		this.budget = budget;
		this.maxConnections = limits.connectionLimit();
		this.serverLayer = PlaintextLayers.serverLayer(system, ServerSettings.create(system.settings().config()));
		this.report = new ServerReport(budget, this::connectionCount);
	}

	/**
	 * Binds a listening socket.
	 * @param address address to bind; port 0 picks any free port
	 * @param handler returns the response to a request; it must not block
	 * @return the binding, once the socket is bound
	 */
	public CompletionStage<Tcp.ServerBinding> bind(HostPort address,
			Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
		this.system.scheduler()
			.scheduleAtFixedRate(SWEEP_INTERVAL, SWEEP_INTERVAL, this::sweep, this.system.executionContext());
		return CompletionStages.withDirectExecutor(Tcp.get(this.system)
			.bind(address.host(), address.port(), BACKLOG_CONNECTIONS, Collections.emptyList(), false, Optional.empty())
			.to(Sink.foreach((incoming) -> accept(incoming, handler)))
			.run(this.system));
	}

	/**
	 * Returns the number of connections.
	 * @return connections that are not closed
	 */
	public int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Returns the number of connections that were closed because of a limit.
	 * @return number of connections since the start, without idle ones
	 */
	public long closedCount() {
		return this.report.closedCount();
	}

	private void accept(Tcp.IncomingConnection incoming, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
		if (this.connections.size() >= this.maxConnections && !closeLongestIdle()) {
			this.report.count(CloseReason.SURPLUS);
			incoming.handleWith(Flow.fromSinkAndSource(Sink.cancelled(), Source.empty()), this.system);
			return;
		}
		ServedConnection connection = new ServedConnection(this.limits, this.budget, owner(incoming.remoteAddress()));
		this.connections.add(connection);
		incoming.handleWith(newFlow(connection, handler), this.system);
	}

	private Flow<ByteString, ByteString, NotUsed> newFlow(ServedConnection connection,
			Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
		ServedRequests requests = new ServedRequests(connection);
		Flow<HttpRequest, HttpResponse, NotUsed> handlerFlow = Flow.<HttpRequest>create()
			.mapAsync(1, (request) -> requests.handle(request, handler));
		return Flow.<ByteString>create().via(connection.killSwitch().flow()).watchTermination((unused, done) -> {
			CompletionStages.withDirectExecutor(done).whenComplete((value, failure) -> onInputEnd(connection));
			return unused;
		})
			.via(new InboundStage(connection))
			.via(this.serverLayer.reversed().join(handlerFlow))
			.via(new OutboundStage(connection))
			.via(connection.killSwitch().flow())
			.watchTermination((unused, done) -> {
				CompletionStages.withDirectExecutor(done).whenComplete((value, failure) -> onClosed(connection));
				return unused;
			});
	}

	private void onInputEnd(ServedConnection connection) {
		if (connection.isRejected()) {
			this.report.count(CloseReason.HEAD);
		}
	}

	private void onClosed(ServedConnection connection) {
		this.connections.remove(connection);
		connection.held().close();
	}

	private boolean closeLongestIdle() {
		Optional<ServedConnection> idle = this.connections.stream()
			.filter(ServedConnection::isIdle)
			.min(Comparator.comparingLong(ServedConnection::idleSinceNanos));
		idle.ifPresent((connection) -> {
			this.report.count(CloseReason.SURPLUS);
			this.connections.remove(connection);
			connection.abort();
		});
		return idle.isPresent();
	}

	private void sweep() {
		long nowNanos = this.budget.nowNanos();
		for (ServedConnection connection : this.connections) {
			connection.closeReason(nowNanos).ifPresent((reason) -> {
				this.report.count(reason);
				connection.abort();
			});
		}
		this.budget.reclaim();
		this.report.logIfDue(nowNanos);
	}

	private static String owner(InetSocketAddress address) {
		return "address " + address.getAddress().getHostAddress();
	}

}
