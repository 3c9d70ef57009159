package org.marjoramgw.direct.caller;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.direct.model.Ranks;
import org.marjoramgw.direct.socket.AcceptedSocket;
import org.marjoramgw.direct.socket.SocketAcceptor;
import org.marjoramgw.http.PlainBytes;
import org.marjoramgw.policy.limiter.StartLimiter;
import org.marjoramgw.time.Timers;
import scala.concurrent.duration.Duration;

/**
 * Opens HTTP connections on the sockets of callers and notices at once when a caller
 * closes one, also while it waits for an answer.
 *
 * @author The marjoramgw authors
 */
public final class CallerListener {

	/**
	 * Connections that are opened at once. A process that has just started is slow at it:
	 * if it opened all that wait, it would learn late which callers have left meanwhile.
	 */
	private static final int MAX_OPENING_COUNT = 4;

	/**
	 * Time after which a connection without a request counts as open, in milliseconds.
	 */
	private static final long MAX_OPENING_MILLIS = 100;

	private final ActorSystem<?> system;

	private final ServerSettings settings;

	private final Timers timers;

	private final Supplier<CallerLimits> limits;

	private final ToIntFunction<HeadPreview> rankFunction;

	private final BiFunction<HttpRequest, CallerConnection, CompletionStage<HttpResponse>> handler;

	/**
	 * Built once for each set of limits: building one fills a table of all known headers.
	 */
	private final Map<CallerLimits, BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed>> layerByLimits = new ConcurrentHashMap<>();

	private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();

	private final StartLimiter openingGate;

	/**
	 * Creates a listener.
	 * @param system the actor system
	 * @param settings how requests are parsed
	 * @param timers timers
	 * @param limits bounds of what callers may send
	 * @param ranks rank of a request by its preview, 0 is the most urgent
	 * @param handler answers a request of a connection
	 */
	public CallerListener(ActorSystem<?> system, ServerSettings settings, Timers timers, Supplier<CallerLimits> limits,
			ToIntFunction<HeadPreview> ranks,
			BiFunction<HttpRequest, CallerConnection, CompletionStage<HttpResponse>> handler) {
		this.system = system;
		this.settings = settings;
		this.timers = timers;
		this.limits = limits;
		this.rankFunction = ranks;
		this.handler = handler;
		this.openingGate = new StartLimiter(MAX_OPENING_COUNT, Runnable::run);
	}

	/**
	 * Starts serving what connects to an address.
	 * @param acceptor listens on the address
	 */
	public void serve(SocketAcceptor acceptor) {
		acceptor.serve(this::accept);
	}

	/**
	 * Closes the connections on which no request is under way.
	 */
	public void closeIdle() {
		this.connections.forEach(CallerConnection::closeIfIdle);
	}

	private void accept(AcceptedSocket socket) {
		CallerConnection caller = new CallerConnection(socket);
		this.connections.add(caller);
		AtomicBoolean waiting = new AtomicBoolean();
		socket.whenReceived(() -> {
			if (!waiting.getAndSet(true)) {
				enqueueOpening(socket, caller);
			}
		});
		socket.whenEnded(() -> onEnd(socket, caller));
		this.timers.schedule(this.limits.get().idleTimeoutMillis(), () -> {
			if (!waiting.get()) {
				caller.closeIfIdle();
			}
		});
	}

	private void enqueueOpening(AcceptedSocket socket, CallerConnection caller) {
		Executor executor = this.system.executionContext();
		int rank = HeadPreview.of(socket.peek()).map(this.rankFunction::applyAsInt).orElse(Ranks.LEAST_URGENT);
		StartLimiter.Permit place = this.openingGate.acquire(rank, () -> executor.execute(() -> open(socket, caller)));
		caller.opened().whenComplete((opened, failure) -> place.release());
	}

	private void open(AcceptedSocket socket, CallerConnection caller) {
		if (socket.hasEnded()) {
			socket.closeGracefully();
			return;
		}
		Flow<HttpRequest, HttpResponse, NotUsed> answers = Flow.<HttpRequest>create()
			.mapAsync(1, (request) -> this.handler.apply(request, caller));
		Flow<ByteString, ByteString, NotUsed> bytes = Flow.<ByteString>create()
			.map((received) -> startHeadTimeout(received, caller))
			.via(currentLayer().reversed().join(answers));
		socket.flow().join(bytes).run(this.system);
		this.timers.schedule(MAX_OPENING_MILLIS, caller::markOpened);
	}

	private ByteString startHeadTimeout(ByteString received, CallerConnection caller) {
		int head = caller.onBytes();
		if (head > 0) {
			this.timers.schedule(this.limits.get().headerTimeoutMillis(), () -> caller.closeIfHeadIncomplete(head));
		}
		return received;
	}

	private void onEnd(AcceptedSocket socket, CallerConnection caller) {
		this.connections.remove(caller);
		caller.onClosedByCaller();
		// A connection that ended while it waited is never opened.
		socket.closeIfUnused();
	}

	private BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> currentLayer() {
		return this.layerByLimits.computeIfAbsent(this.limits.get(), this::buildLayer);
	}

	private BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> buildLayer(CallerLimits current) {
		Duration idleTimeout = Duration.create(current.idleTimeoutMillis(), TimeUnit.MILLISECONDS);
		ServerSettings adapted = this.settings.withTimeouts(this.settings.getTimeouts().withIdleTimeout(idleTimeout))
			.withParserSettings(this.settings.getParserSettings().withMaxHeaderValueLength(current.maxHeaderBytes()));
		return PlainBytes.serverLayer(this.system, adapted);
	}

}
