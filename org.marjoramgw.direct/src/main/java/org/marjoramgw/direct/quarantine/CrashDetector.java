package org.marjoramgw.direct.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.http.HttpConnection;
import org.marjoramgw.http.HttpConnector;
import org.marjoramgw.policy.quarantine.CrashReport;
import org.marjoramgw.policy.quarantine.Witness;
import org.marjoramgw.time.Timers;

/**
 * Tells whether a server whose connection broke has crashed, by connecting to it once
 * more, and reports each crash with the requests that were open; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class CrashDetector {

	private static final long CONNECT_TIMEOUT_MILLIS = 400;

	/** Time in which the requests of one crash are gathered. */
	private static final long GATHER_MILLIS = 100;

	private final HttpConnector connector;

	private final ServerHealth health;

	private final MillisClock clock;

	private final Timers timers;

	private final Consumer<CrashReport> onCrash;

	private final Map<String, Check> checkByServer = new HashMap<>();

	/**
	 * Creates a detector.
	 * @param connector connector for new connections
	 * @param health failure state of backend servers
	 * @param clock monotonic clock
	 * @param timers timers
	 * @param onCrash receiver of the reports
	 */
	CrashDetector(HttpConnector connector, ServerHealth health, MillisClock clock, Timers timers,
			Consumer<CrashReport> onCrash) {
		this.connector = connector;
		this.health = health;
		this.clock = clock;
		this.timers = timers;
		this.onCrash = onCrash;
	}

	/**
	 * Checks a server.
	 * @param server the server
	 * @param witness the request whose connection broke
	 * @return whether the server has crashed
	 */
	CompletionStage<Boolean> check(BackendServer server, Witness witness) {
		Check check;
		synchronized (this) {
			check = this.checkByServer.get(server.incarnation());
			if (check != null) {
				check.witnesses.add(witness);
				return check.crashed;
			}
			check = new Check(this.clock.nowMillis(), this.connector.connect(server.address(), CONNECT_TIMEOUT_MILLIS)
				.handle((connection, failure) -> onConnect(server, connection)));
			check.witnesses.add(witness);
			this.checkByServer.put(server.incarnation(), check);
		}
		Check started = check;
		started.crashed
			.thenAccept((crashed) -> this.timers.schedule(GATHER_MILLIS, () -> end(server.incarnation(), crashed)));
		return started.crashed;
	}

	private boolean onConnect(BackendServer server, HttpConnection connection) {
		if (connection != null) {
			connection.close();
			return false;
		}
		this.health.onUnreachable(server.id());
		return true;
	}

	private void end(String incarnation, boolean crashed) {
		Check check;
		CrashReport report;
		synchronized (this) {
			check = this.checkByServer.remove(incarnation);
			report = new CrashReport(incarnation, this.clock.nowMillis() - check.startMillis, check.witnesses);
		}
		if (crashed) {
			this.onCrash.accept(report);
		}
	}

	private static final class Check {

		private final long startMillis;

		private final CompletionStage<Boolean> crashed;

		private final List<Witness> witnesses = new ArrayList<>();

		private Check(long startMillis, CompletionStage<Boolean> crashed) {
			this.startMillis = startMillis;
			this.crashed = crashed;
		}

	}

}
