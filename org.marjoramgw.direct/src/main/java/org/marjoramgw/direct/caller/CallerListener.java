package org.marjoramgw.direct.caller;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Supplier;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.direct.socket.AcceptedSocket;
import org.marjoramgw.direct.socket.SocketAcceptor;
import org.marjoramgw.http.PlaintextLayers;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.policy.waiting.StartTimeouts;
import org.marjoramgw.time.Timers;
import scala.concurrent.duration.Duration;

/**
 * Opens HTTP connections on the sockets of callers and detects immediately when a caller
 * closes one, even while a response is pending.
 *
 * @author The marjoramgw authors
 */
public final class CallerListener {

	private final ActorSystem<?> system;

	private final ServerSettings settings;

	private final Timers timers;

	private final StartTimeouts startTimeouts;

	private final Supplier<CallerLimits> limits;

	private final BiFunction<HttpRequest, CallerConnection, CompletionStage<HttpResponse>> handler;

	/**
	 * HTTP layers by limits. Cached because building one fills a table of all known
	 * headers.
	 */
	private final Map<CallerLimits, BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed>> layerByLimits = new ConcurrentHashMap<>();

	private final Map<CallerConnection, WatchedConnection> connections = new ConcurrentHashMap<>();

	private final OpeningQueue openingQueue;

	private final CallerEvents events = new CallerEvents();

	/**
	 * Creates a listener.
	 * @param system the actor system
	 * @param settings settings of the HTTP server
	 * @param timers timers
	 * @param startLimiter limits the requests that start concurrently
	 * @param startTimeouts timeouts of starting requests
	 * @param limits current limits on callers
	 * @param unreadRequests creates the requests of connections that wait to be opened
	 * @param handler handler of the requests of a connection
	 */
	public CallerListener(ActorSystem<?> system, ServerSettings settings, Timers timers, StartLimiter startLimiter,
			StartTimeouts startTimeouts, Supplier<CallerLimits> limits, UnreadRequest.Factory unreadRequests,
			BiFunction<HttpRequest, CallerConnection, CompletionStage<HttpResponse>> handler) {
		this.system = system;
		this.settings = settings;
		this.timers = timers;
		this.startTimeouts = startTimeouts;
		this.limits = limits;
		this.handler = handler;
		this.openingQueue = new OpeningQueue(startLimiter, timers, unreadRequests, system.executionContext());
	}

	/**
	 * Starts serving the connections of an acceptor.
	 * @param acceptor the acceptor
	 * @return completes when the connections accepted before are served
	 */
	public CompletionStage<Void> serve(SocketAcceptor acceptor) {
		Runnable open = this.openingQueue.hold();
		CallerWatch watch = new CallerWatch(this.timers, acceptor::nowMillis, this.limits, acceptor.memory(),
				this.connections, acceptor::isAccepting, this.events);
		watch.start();
		return acceptor.serve((socket) -> accept(socket, acceptor, watch)).thenRun(open);
	}

	/**
	 * Reads the requests of all connections that wait to be opened, and of later ones,
	 * without waiting further.
	 */
	public void readAllWaiting() {
		this.openingQueue.openAll();
	}

	/**
	 * Ends the connections that have no request in progress. Each is closed once its last
	 * response was written.
	 */
	public void finishIdle() {
		this.connections.keySet().forEach(CallerConnection::finishIfIdle);
	}

	/**
	 * Returns the number of connections on which bytes may still be written.
	 * @return number of connections that are not closed yet
	 */
	public long openCount() {
		return this.connections.keySet().stream().filter((connection) -> !connection.isClosed()).count();
	}

	/**
	 * Returns the number of requests that wait to start, unread or on kept connections.
	 * @return number of requests
	 */
	public int waitingCount() {
		return this.openingQueue.waitingCount();
	}

	/**
	 * Returns the counts of callers that were refused or whose connections were closed.
	 * @return the counts
	 */
	public CallerEvents events() {
		return this.events;
	}

	private void accept(AcceptedSocket socket, SocketAcceptor acceptor, CallerWatch watch) {
		if (acceptor.isOverBounds() && !watch.evict()) {
			watch.record(CallerEvents.Reason.NO_ROOM, 0);
			socket.close();
			return;
		}
		CallerConnection connection = new CallerConnection(socket);
		WaitingConnection waiting = this.openingQueue.place(socket, connection, () -> open(socket, connection));
		WatchedConnection watched = new WatchedConnection(socket, connection, waiting, acceptor.nowMillis());
		this.connections.put(connection, watched);
		watch.onAdded();
		// Before the connection may be opened, so that no bytes are taken unseen.
		socket.whenTaking((bytes) -> watch.onTaking(watched, bytes));
		socket.whenReceived(waiting::onReceived);
		socket.whenEnded(() -> onEnd(socket, connection));
	}

	private void open(AcceptedSocket socket, CallerConnection connection) {
		if (socket.hasEnded()) {
			socket.closeGracefully();
			return;
		}
		Flow<HttpRequest, HttpResponse, NotUsed> handlerFlow = Flow.<HttpRequest>create()
			.mapAsync(1, (request) -> this.handler.apply(request, connection));
		Timers.Handle timeout = this.startTimeouts.begin(connection::markOpened);
		connection.opened().thenRun(timeout::cancel);
		socket.flow().join(currentLayer().reversed().join(handlerFlow)).run(this.system);
	}

	private void onEnd(AcceptedSocket socket, CallerConnection connection) {
		this.connections.remove(connection);
		connection.onClosedByCaller();
		// A connection that ended while it was waiting is never opened.
		socket.closeIfUnused();
	}

	private BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> currentLayer() {
		return this.layerByLimits.computeIfAbsent(this.limits.get(), this::buildLayer);
	}

	private BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> buildLayer(CallerLimits current) {
		Duration idleTimeout = Duration.create(current.idleTimeoutMillis(), TimeUnit.MILLISECONDS);
		ServerSettings adapted = this.settings.withTimeouts(this.settings.getTimeouts().withIdleTimeout(idleTimeout))
			.withParserSettings(this.settings.getParserSettings().withMaxHeaderValueLength(current.maxHeaderBytes()));
		return PlaintextLayers.serverLayer(this.system, adapted);
	}

}
