package org.marjoramgw.direct.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.http.HttpConnection;
import org.marjoramgw.http.HttpConnector;

/**
 * Kept connections to backend servers; thread-safe.
 * <p>
 * A connection is used again only within the time for which its server said it keeps it.
 * A request that must not run twice gets a fresh one: on a kept one, a server that closes
 * it at that moment would leave open whether the request ran.
 *
 * @author The marjoramgw authors
 */
public final class ConnectionPool implements AutoCloseable {

	/** A server that does not accept within this time is passed over, in milliseconds. */
	private static final long CONNECT_TIMEOUT_MILLIS = 400;

	/** Kept connections to one server; each holds memory here and a place there. */
	private static final int MAX_IDLE_PER_SERVER = 2;

	private final HttpConnector connector;

	private final MillisClock clock;

	private final Map<HostPort, Deque<IdleConnection>> idleByAddress = new HashMap<>();

	/**
	 * Creates an empty pool.
	 * @param connector opens connections
	 * @param clock monotonic clock
	 */
	public ConnectionPool(HttpConnector connector, MillisClock clock) {
		this.connector = connector;
		this.clock = clock;
	}

	/**
	 * Gives a connection.
	 * @param address address of the server
	 * @param fresh whether it must not have been used before
	 * @return an open connection; fails if the server did not accept one
	 */
	public CompletionStage<HttpConnection> acquire(HostPort address, boolean fresh) {
		HttpConnection kept = fresh ? null : takeIdle(address);
		if (kept != null) {
			return CompletableFuture.completedFuture(kept);
		}
		return this.connector.connect(address, CONNECT_TIMEOUT_MILLIS);
	}

	/**
	 * Takes a connection back whose last answer was read to its end.
	 * @param connection the connection
	 * @param keepMillis how long it may be used again, in milliseconds; 0 closes it
	 */
	public void release(HttpConnection connection, long keepMillis) {
		if (!connection.release() || keepMillis <= 0) {
			connection.close();
			return;
		}
		synchronized (this) {
			Deque<IdleConnection> idle = this.idleByAddress.computeIfAbsent(connection.address(),
					(key) -> new ArrayDeque<>());
			idle.addLast(new IdleConnection(connection, this.clock.nowMillis() + keepMillis));
			if (idle.size() > MAX_IDLE_PER_SERVER) {
				idle.removeFirst().connection.close();
			}
		}
	}

	/**
	 * Closes kept connections whose time is over.
	 */
	public synchronized void closeExpired() {
		long nowMillis = this.clock.nowMillis();
		for (Iterator<Deque<IdleConnection>> each = this.idleByAddress.values().iterator(); each.hasNext();) {
			Deque<IdleConnection> idle = each.next();
			idle.removeIf((kept) -> kept.closeIfExpired(nowMillis));
			if (idle.isEmpty()) {
				each.remove();
			}
		}
	}

	@Override
	public synchronized void close() {
		this.idleByAddress.values().forEach((idle) -> idle.forEach((kept) -> kept.connection.close()));
		this.idleByAddress.clear();
	}

	private synchronized HttpConnection takeIdle(HostPort address) {
		Deque<IdleConnection> idle = this.idleByAddress.get(address);
		long nowMillis = this.clock.nowMillis();
		while (idle != null && !idle.isEmpty()) {
			IdleConnection kept = idle.removeLast();
			if (!kept.closeIfExpired(nowMillis)) {
				return kept.connection;
			}
		}
		return null;
	}

	private record IdleConnection(HttpConnection connection, long expiryMillis) {

		boolean closeIfExpired(long nowMillis) {
			if (nowMillis < this.expiryMillis && this.connection.isUsable()) {
				return false;
			}
			this.connection.close();
			return true;
		}

	}

}
