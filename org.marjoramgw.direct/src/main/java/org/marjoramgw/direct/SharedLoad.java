package org.marjoramgw.direct;

import java.util.Random;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.fleet.FleetBook;
import org.marjoramgw.policy.pace.PaceBook;
import org.marjoramgw.policy.pace.ServerRamp;
import org.marjoramgw.policy.placement.LeastLoadedPlacement;
import org.marjoramgw.policy.placement.Placement;
import org.marjoramgw.policy.placement.SharedLoadPlacement;

/**
 * Load of the backend servers that the entry processes share, and the placement by it.
 *
 * @author The marjoramgw authors
 */
final class SharedLoad {

	private final FleetBook book;

	private final Placement placement;

	/**
	 * Creates a shared load without requests.
	 * @param processId id of this process
	 * @param clock monotonic clock
	 * @param lagMillis scheduling lag of the process, in milliseconds
	 * @param registry registry of the metrics
	 */
	SharedLoad(String processId, MillisClock clock, LongSupplier lagMillis, MetricRegistry registry) {
		PaceBook paceBook = new PaceBook(clock);
		ServerRamp ramp = new ServerRamp(clock, new RampLog(registry, paceBook));
		this.book = new FleetBook(processId, System.currentTimeMillis(), clock, lagMillis, paceBook, ramp);
		this.placement = new SharedLoadPlacement(this.book, paceBook, ramp, new LeastLoadedPlacement(new Random()),
				new Random());
		registry.gauge("ramp.servers", () -> (Gauge<Integer>) ramp::rampingCount);
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

}
