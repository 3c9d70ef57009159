package org.marjoramgw.direct;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.program.Lifecycle;
import org.marjoramgw.time.LagMeter;

/**
 * Decides whether the load balancer should send callers to this process; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class Readiness {

	/**
	 * Margin between the last use of a key and the end of its revocation time, in
	 * milliseconds.
	 */
	private static final long REVOCATION_MARGIN_MILLIS = 300;

	/**
	 * How long before keys stop being accepted this process reports that it is not ready,
	 * in milliseconds, so that the load balancer can move callers to other processes
	 * first.
	 */
	private static final long READY_MARGIN_MILLIS = 1_000;

	/**
	 * Timer lag at which this process reports that it is not ready, in milliseconds,
	 * since other processes serve callers faster.
	 */
	private static final long MAX_READY_LAG_MILLIS = 500;

	private final Lifecycle lifecycle;

	private final BooleanSupplier warmedUp;

	private final ServerDirectory directory;

	private final LagMeter lag;

	private final ActiveRouting routing;

	private final LongSupplier revocationMillis;

	/**
	 * Creates an instance.
	 * @param lifecycle lifecycle of the process
	 * @param warmedUp tells whether the warm-up has ended
	 * @param directory directory of the backend servers
	 * @param lag meter of the timer lag
	 * @param routing the active configuration
	 * @param revocationMillis returns the time within which a revoked key stops working,
	 * in milliseconds; asked each time, since the settings can be read again
	 */
	Readiness(Lifecycle lifecycle, BooleanSupplier warmedUp, ServerDirectory directory, LagMeter lag,
			ActiveRouting routing, LongSupplier revocationMillis) {
		this.lifecycle = lifecycle;
		this.warmedUp = warmedUp;
		this.directory = directory;
		this.lag = lag;
		this.routing = routing;
		this.revocationMillis = revocationMillis;
	}

	/**
	 * Tells whether this process should be sent callers at present.
	 * @return whether it is ready
	 */
	boolean isReady() {
		return !this.lifecycle.isStopping() && this.warmedUp.getAsBoolean() && this.directory.isLoaded()
				&& this.lag.lagMillis() < MAX_READY_LAG_MILLIS
				&& this.routing.ageMillis() < maxAgeMillis() - READY_MARGIN_MILLIS;
	}

	/**
	 * Returns the age of the configuration's last confirmation up to which its keys are
	 * accepted.
	 * @return the age in milliseconds
	 */
	long maxAgeMillis() {
		return this.revocationMillis.getAsLong() - REVOCATION_MARGIN_MILLIS;
	}

}
