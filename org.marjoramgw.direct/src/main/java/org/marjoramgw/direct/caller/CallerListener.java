package org.marjoramgw.direct.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.apache.pekko.io.Inet;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.HostPort;
import org.marjoramgw.Stages;
import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.http.PlainBytes;
import org.marjoramgw.time.Timers;
import scala.concurrent.duration.Duration;

/**
 * Listens for callers and notices at once when one closes its connection, also while it
 * waits for an answer.
 *
 * @author The marjoramgw authors
 */
public final class CallerListener {

	/** Reads ahead of the parser, so that the end of a connection is noticed early. */
	private static final int READ_AHEAD_COUNT = 16;

	/**
	 * Connections that are opened at once. A process that has just started is slow at it:
	 * if it opened all that wait, it would learn late which callers have left meanwhile.
	 */
	private static final int MAX_OPENING_COUNT = 4;

	/**
	 * Time after which a connection without a request counts as open, in milliseconds.
	 */
	private static final long MAX_OPENING_MILLIS = 100;

	/** Connections that may wait to be accepted. */
	private static final int BACKLOG = 512;

	private static final List<Inet.SocketOption> NO_DELAY = List.of(TcpSO.tcpNoDelay(true));

	private final ActorSystem<?> system;

	private final ServerSettings settings;

	private final Timers timers;

	private final Supplier<CallerLimits> limits;

	private final BiFunction<HttpRequest, CallerConnection, CompletionStage<HttpResponse>> handler;

	/**
	 * Built once for each set of limits: building one fills a table of all known headers.
	 */
	private final Map<CallerLimits, BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed>> layerByLimits = new ConcurrentHashMap<>();

	private final Set<CallerConnection> open = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a listener.
	 * @param system the actor system
	 * @param settings how requests are parsed
	 * @param timers timers
	 * @param limits bounds of what callers may send
	 * @param handler answers a request of a connection
	 */
	public CallerListener(ActorSystem<?> system, ServerSettings settings, Timers timers, Supplier<CallerLimits> limits,
			BiFunction<HttpRequest, CallerConnection, CompletionStage<HttpResponse>> handler) {
		this.system = system;
		this.settings = settings;
		this.timers = timers;
		this.limits = limits;
		this.handler = handler;
	}

	/**
	 * Starts listening.
	 * @param address where to listen
	 * @return the binding once it is open
	 */
	public CompletionStage<Tcp.ServerBinding> bind(HostPort address) {
		return Tcp.get(this.system)
			.bind(address.host(), address.port(), BACKLOG, NO_DELAY, false, Optional.empty())
			.mapAsyncUnordered(MAX_OPENING_COUNT, this::accept)
			.to(Sink.ignore())
			.run(this.system);
	}

	/**
	 * Closes the connections on which no request is under way.
	 */
	public void closeIdle() {
		this.open.forEach(CallerConnection::closeIfIdle);
	}

	private CompletionStage<CallerConnection> accept(Tcp.IncomingConnection incoming) {
		SharedKillSwitch end = KillSwitches.shared("caller");
		CallerConnection caller = new CallerConnection(end::shutdown);
		this.open.add(caller);
		Flow<HttpRequest, HttpResponse, NotUsed> answers = Flow.<HttpRequest>create()
			.mapAsync(1, (request) -> this.handler.apply(request, caller));
		Flow<ByteString, ByteString, NotUsed> bytes = Flow.<ByteString>create().watchTermination((notUsed, ended) -> {
			Stages.direct(ended).whenComplete((done, failure) -> onEnd(caller));
			return notUsed;
		})
			.map((received) -> limitHead(received, caller))
			.buffer(READ_AHEAD_COUNT, OverflowStrategy.backpressure())
			.via(server().reversed().join(answers))
			.via(end.flow());
		incoming.handleWith(bytes, this.system);
		this.timers.after(MAX_OPENING_MILLIS, caller::started);
		return caller.opened();
	}

	private ByteString limitHead(ByteString received, CallerConnection caller) {
		int head = caller.onBytes();
		if (head > 0) {
			this.timers.after(this.limits.get().headerTimeoutMillis(), () -> caller.closeIfHeadIncomplete(head));
		}
		return received;
	}

	private void onEnd(CallerConnection caller) {
		this.open.remove(caller);
		caller.close();
	}

	private BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> server() {
		return this.layerByLimits.computeIfAbsent(this.limits.get(), this::serverLayer);
	}

	private BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> serverLayer(CallerLimits current) {
		Duration idleTimeout = Duration.create(current.idleTimeoutMillis(), TimeUnit.MILLISECONDS);
		ServerSettings adapted = this.settings.withTimeouts(this.settings.getTimeouts().withIdleTimeout(idleTimeout))
			.withParserSettings(this.settings.getParserSettings().withMaxHeaderValueLength(current.maxHeaderBytes()));
		return PlainBytes.serverLayer(this.system, adapted);
	}

}
