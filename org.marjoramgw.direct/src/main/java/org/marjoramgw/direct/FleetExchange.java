package org.marjoramgw.direct;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.peer.PeerExchange;
import org.marjoramgw.policy.fleet.Digest;
import org.marjoramgw.policy.fleet.DigestListener;
import org.marjoramgw.policy.fleet.DigestSource;
import org.marjoramgw.policy.fleet.LoadObserver;
import org.marjoramgw.time.Timers;

/**
 * Load of the backend servers that this process shares with the other entry processes.
 * Where the settings don't enable it, nothing is observed, opened, read or sent.
 *
 * @author The marjoramgw authors
 */
final class FleetExchange {

	private final LoadObserver loadObserver;

	private final Optional<PeerExchange> peers;

	private FleetExchange(LoadObserver loadObserver, Optional<PeerExchange> peers) {
		this.loadObserver = loadObserver;
		this.peers = peers;
	}

	/**
	 * Creates the exchange.
	 * @param settings settings of the process
	 * @param topic topic of all entry processes
	 * @param clock monotonic clock
	 * @param timers timers
	 * @param registry registry of the metrics
	 * @return the exchange
	 */
	static FleetExchange of(DirectSettings settings, AppendableTopic topic, MillisClock clock, Timers timers,
			MetricRegistry registry) {
		if (!settings.peers().isEnabled()) {
			return new FleetExchange(LoadObserver.NONE, Optional.empty());
		}
		long incarnation = System.currentTimeMillis();
		NoLoad load = new NoLoad(settings.processId(), incarnation);
		PeerExchange peers = new PeerExchange(settings.processId(), incarnation, settings.peers().address().get(),
				topic, load, load, clock, timers, registry, new Random());
		return new FleetExchange(LoadObserver.NONE, Optional.of(peers));
	}

	/**
	 * Returns the receiver of the course of the requests of callers.
	 * @return the observer
	 */
	LoadObserver loadObserver() {
		return this.loadObserver;
	}

	/**
	 * Starts to exchange digests.
	 */
	void start() {
		this.peers.ifPresent(PeerExchange::start);
	}

	/**
	 * Makes this process unknown to others that start from now on.
	 */
	void leave() {
		this.peers.ifPresent(PeerExchange::leave);
	}

	/**
	 * Stands in for the book of the load until it exists: reports nothing and ignores
	 * what peers report.
	 *
	 * @param processId id of this process
	 * @param incarnation start of this process
	 */
	private record NoLoad(String processId, long incarnation) implements DigestSource, DigestListener {

		@Override
		public Digest next(boolean complete) {
			return new Digest(this.processId, this.incarnation, 1, List.of(), List.of());
		}

		@Override
		public void onDigest(Digest digest) {
		}

		@Override
		public void onMembers(Set<String> heardIds, Set<String> memberIds) {
		}

	}

}
