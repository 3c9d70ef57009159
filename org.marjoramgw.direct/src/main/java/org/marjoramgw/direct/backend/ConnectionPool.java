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
 * Pool of idle connections to backend servers; thread-safe.
 * <p>
 * A connection is reused only within the keep-alive time announced by its server. A
 * request that must not run twice needs a new connection: if the server closes a reused
 * one at the moment of sending, it is unknown whether the request ran.
 *
 * @author The marjoramgw authors
 */
public final class ConnectionPool implements AutoCloseable {

	/** Connect timeout, after which another server is tried, in milliseconds. */
	private static final long CONNECT_TIMEOUT_MILLIS = 400;

	/**
	 * Maximum number of idle connections to one server. Each one occupies memory in this
	 * process and a connection slot of the server.
	 */
	private static final int MAX_IDLE_PER_SERVER = 2;

	private final HttpConnector connector;

	private final MillisClock clock;

	private final Map<HostPort, Deque<IdleConnection>> idleByAddress = new HashMap<>();

	/**
	 * Creates an empty pool.
	 * @param connector connector for new connections
	 * @param clock monotonic clock
	 */
	public ConnectionPool(HttpConnector connector, MillisClock clock) {
		this.connector = connector;
		this.clock = clock;
	}

	/**
	 * Acquires a connection.
	 * @param address address of the server
	 * @param fresh whether to open a new connection instead of reusing an idle one
	 * @param requestId id of the request that it is for; an idle connection that has
	 * carried the id is not used
	 * @return the connection; fails if it can't be established
	 */
	public CompletionStage<HttpConnection> acquire(HostPort address, boolean fresh, String requestId) {
		HttpConnection idleConnection = fresh ? null : takeIdle(address, requestId);
		if (idleConnection != null) {
			return CompletableFuture.completedFuture(idleConnection);
		}
		return this.connector.connect(address, CONNECT_TIMEOUT_MILLIS);
	}

	/**
	 * Returns a connection to the pool after its last response was read completely.
	 * @param connection the connection
	 * @param keepMillis time for which it may be reused, in milliseconds; 0 closes it
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
	 * Closes idle connections whose keep-alive time has expired.
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

	private synchronized HttpConnection takeIdle(HostPort address, String requestId) {
		Deque<IdleConnection> idle = this.idleByAddress.getOrDefault(address, new ArrayDeque<>());
		long nowMillis = this.clock.nowMillis();
		for (Iterator<IdleConnection> newestFirst = idle.descendingIterator(); newestFirst.hasNext();) {
			IdleConnection kept = newestFirst.next();
			if (kept.closeIfExpired(nowMillis)) {
				newestFirst.remove();
			}
			else if (kept.connection.isUsableFor(requestId)) {
				newestFirst.remove();
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
