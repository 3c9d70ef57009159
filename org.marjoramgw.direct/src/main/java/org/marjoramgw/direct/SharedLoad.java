package org.marjoramgw.direct;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.fleet.FleetBook;
import org.marjoramgw.policy.pace.PaceBook;
import org.marjoramgw.policy.pace.ServerRamp;
import org.marjoramgw.policy.placement.AffinityPlacement;
import org.marjoramgw.policy.placement.Placement;
import org.marjoramgw.policy.placement.ServerView;
import org.marjoramgw.policy.placement.SharedLoadPlacement;

/**
 * Load of the backend servers that the entry processes share, and the placement by it.
 *
 * @author The marjoramgw authors
 */
final class SharedLoad {

	private final FleetBook book;

	private final PaceBook paceBook;

	private final ServerRamp ramp;

	private final AffinityPlacement ownPlacement;

	private final Placement placement;

	/**
	 * Creates a shared load without requests.
	 * @param processId id of this process
	 * @param clock monotonic clock
	 * @param lagMillis scheduling lag of the process, in milliseconds
	 * @param registry registry of the metrics
	 * @param ownPlacement placement by the load of this process alone
	 */
	SharedLoad(String processId, MillisClock clock, LongSupplier lagMillis, MetricRegistry registry,
			AffinityPlacement ownPlacement) {
		this.ownPlacement = ownPlacement;
		this.paceBook = new PaceBook(clock);
		this.ramp = new ServerRamp(clock, new RampLog(registry, this.paceBook));
		this.book = new FleetBook(processId, System.currentTimeMillis(), clock, lagMillis, this.paceBook, this.ramp);
		this.placement = newPlacement(this.ramp);
		registry.gauge("ramp.servers", () -> (Gauge<Integer>) this.ramp::rampingCount);
	}

	/**
	 * Returns the load, which the requests of this process and the digests of its peers
	 * change.
	 * @return the load
	 */
	FleetBook book() {
		return this.book;
	}

	Placement placement() {
		return this.placement;
	}

	/**
	 * Creates a placement that chooses by the same load and changes nothing.
	 * @return the placement, for one choice
	 */
	Placement readOnlyPlacement() {
		return newPlacement(this.ramp.copy());
	}

	/**
	 * Returns what is estimated of a server, for operators.
	 * @param server the server
	 * @return share that its ramp allows and its pace, as far as there are any, and the
	 * requests and unread tokens of all processes
	 */
	Map<String, Double> estimates(ServerView server) {
		Map<String, Double> estimates = new LinkedHashMap<>();
		double share = this.ramp.share(server.serverKey());
		if (share < 1) {
			estimates.put("ramp_share", share);
		}
		double pace = this.paceBook.steadyPace(server.serverKey());
		if (pace > 0) {
			estimates.put("events_per_s", pace);
		}
		estimates.put("shared_requests", this.book.load(server.serverKey()).requestCount());
		estimates.put("shared_unread_tokens", this.book.load(server.serverKey()).unreadTokens());
		return estimates;
	}

	private Placement newPlacement(ServerRamp placementRamp) {
		return new SharedLoadPlacement(this.book, this.paceBook, placementRamp, this.ownPlacement);
	}

}
