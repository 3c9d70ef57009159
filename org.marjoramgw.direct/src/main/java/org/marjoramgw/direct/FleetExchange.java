package org.marjoramgw.direct;

import java.util.Optional;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.peer.PeerExchange;
import org.marjoramgw.time.Timers;

/**
 * Load of the backend servers that this process shares with the other entry processes.
 * Where the settings don't enable it, nothing is observed, opened, read or sent.
 *
 * @author The marjoramgw authors
 */
final class FleetExchange {

	private final Optional<PeerExchange> peers;

	private FleetExchange(Optional<PeerExchange> peers) {
		this.peers = peers;
	}

	/**
	 * Creates the exchange.
	 * @param load load that is exchanged, or empty if there is none
	 * @param settings settings of the process
	 * @param topic topic of all entry processes
	 * @param clock monotonic clock
	 * @param timers timers
	 * @param registry registry of the metrics
	 * @return the exchange
	 */
	static FleetExchange of(Optional<SharedLoad> load, DirectSettings settings, AppendableTopic topic,
			MillisClock clock, Timers timers, MetricRegistry registry) {
		return new FleetExchange(load.map(SharedLoad::book)
			.map((book) -> new PeerExchange(settings.processId(), book.incarnation(), settings.peers().address().get(),
					topic, book, book, clock, timers, registry, new Random())));
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

}
