package org.marjoramgw.direct.warmup;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Tcp;
import org.marjoramgw.CompletionStages;
import org.marjoramgw.HostPort;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.socket.SocketAcceptor;
import org.marjoramgw.http.HttpConnection;
import org.marjoramgw.http.HttpConnector;
import org.marjoramgw.http.HttpListener;
import org.marjoramgw.time.AgeClock;
import org.tinylog.Logger;

/**
 * Warm-up of the request path: sends sample requests through a separate instance of it to
 * a sample backend server on the loopback address.
 *
 * @author The marjoramgw authors
 */
public final class WarmUp {

	private static final HostPort ANY_LOOPBACK_PORT = new HostPort("127.0.0.1", 0);

	private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

	private static final int REQUESTS_PER_CONNECTION = 10;

	private static final long MAX_BODY_BYTES = 1L << 20;

	private final ActorSystem<?> system;

	private final HttpListener listener;

	private final HttpConnector connector;

	private final Samples samples;

	private final AgeClock clock;

	private final int maxRequests;

	private final long limitMillis;

	private final BooleanSupplier superseded;

	private final AtomicInteger sent = new AtomicInteger();

	/**
	 * Creates a warm-up.
	 * @param system the actor system
	 * @param listener listener for the sample backend server
	 * @param connector connector for the sample requests
	 * @param samples sample messages
	 * @param clock clock that measures ages
	 * @param maxRequests maximum number of requests to send
	 * @param limitMillis maximum duration, in milliseconds
	 * @param superseded whether caller requests already warm up the process, which ends
	 * the warm-up
	 */
	public WarmUp(ActorSystem<?> system, HttpListener listener, HttpConnector connector, Samples samples,
			AgeClock clock, int maxRequests, long limitMillis, BooleanSupplier superseded) {
		this.system = system;
		this.listener = listener;
		this.connector = connector;
		this.samples = samples;
		this.clock = clock;
		this.maxRequests = maxRequests;
		this.limitMillis = limitMillis;
		this.superseded = superseded;
	}

	/**
	 * Runs the warm-up.
	 * @param target starter of the request path that is warmed up
	 * @return completes when the warm-up has ended; never fails
	 */
	public CompletionStage<Void> run(Target target) {
		long endMillis = this.clock.now().monotonicMillis() + this.limitMillis;
		return this.listener.bind(ANY_LOOPBACK_PORT, this.samples::respond)
			.thenCompose((server) -> sendToTarget(target, records(server), endMillis)
				.whenComplete((done, failure) -> server.unbind()))
			.handle((done, failure) -> {
				if (failure != null) {
					Logger.warn("warm-up failed: {}", failure.toString());
				}
				Logger.info("warmed up with {} requests", this.sent.get());
				return null;
			});
	}

	private CompletionStage<Void> sendToTarget(Target target, List<KeyedRecord> registrations, long endMillis) {
		try {
			SocketAcceptor acceptor = SocketAcceptor.bind(ANY_LOOPBACK_PORT, this.clock);
			target.start(registrations, acceptor);
			return sendAll(acceptor.address(), endMillis).whenComplete((done, failure) -> acceptor.close());
		}
		catch (IOException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private List<KeyedRecord> records(Tcp.ServerBinding server) {
		HostPort address = new HostPort(ANY_LOOPBACK_PORT.host(), server.localAddress().getPort());
		return List.of(new KeyedRecord(Samples.SERVER_ID, Optional.of(this.samples.registration(address)), 0));
	}

	private CompletionStage<Void> sendAll(HostPort address, long endMillis) {
		if (this.sent.get() >= this.maxRequests || this.superseded.getAsBoolean()
				|| this.clock.now().monotonicMillis() >= endMillis) {
			return CompletableFuture.completedFuture(null);
		}
		return this.connector.connect(address, CONNECT_TIMEOUT_MILLIS)
			.thenCompose((connection) -> sendOnConnection(connection, REQUESTS_PER_CONNECTION)
				.whenComplete((done, failure) -> connection.close()))
			.thenCompose((done) -> sendAll(address, endMillis));
	}

	private CompletionStage<Void> sendOnConnection(HttpConnection connection, int count) {
		if (count == 0 || !connection.isUsable() || this.superseded.getAsBoolean()) {
			return CompletableFuture.completedFuture(null);
		}
		return connection.send(this.samples.request(this.sent.getAndIncrement()), "")
			.thenCompose(this::read)
			.thenCompose((read) -> {
				connection.release();
				return sendOnConnection(connection, count - 1);
			});
	}

	private CompletionStage<?> read(HttpResponse response) {
		return CompletionStages
			.withDirectExecutor(response.entity().toStrict(CONNECT_TIMEOUT_MILLIS, MAX_BODY_BYTES, this.system));
	}

	/**
	 * Starter of a separate instance of the request path.
	 */
	@FunctionalInterface
	public interface Target {

		/**
		 * Starts the instance.
		 * @param registrations registrations of the backend servers that it uses
		 * @param acceptor acceptor of its callers
		 */
		void start(List<KeyedRecord> registrations, SocketAcceptor acceptor);

	}

}
