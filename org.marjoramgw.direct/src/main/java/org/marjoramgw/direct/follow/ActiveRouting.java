package org.marjoramgw.direct.follow;

import java.util.List;
import java.util.Optional;

import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.direct.model.Ranks;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.tinylog.Logger;

/**
 * Configuration in force, and how recently it was confirmed; thread-safe.
 * <p>
 * Versions only rise. A record that can't be decoded is logged and changes nothing.
 *
 * @author The marjoramgw authors
 */
public final class ActiveRouting implements TopicListener {

	private final String key;

	private final RoutingDecoder decoder;

	private final AgeClock clock;

	private volatile Routing current;

	private volatile ClockReading confirmed;

	/**
	 * Creates a holder without a configuration.
	 * @param key key of the record that holds the configuration
	 * @param decoder decodes the record
	 * @param clock clock for ages
	 */
	public ActiveRouting(String key, RoutingDecoder decoder, AgeClock clock) {
		this.key = key;
		this.decoder = decoder;
		this.clock = clock;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty if none is known yet
	 */
	public Optional<Routing> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Returns the bounds of what callers may send.
	 * @return the bounds of the configuration in force, or the default ones
	 */
	public CallerLimits limits() {
		return current().map(Routing::limits).orElse(CallerLimits.DEFAULT);
	}

	/**
	 * Returns the rank of a request of which only the target is known yet.
	 * @param host host that the request names, without port
	 * @param path path of the request, undecoded
	 * @return rank of its route, 0 is the most urgent
	 */
	public int rank(String host, String path) {
		return current()
			.flatMap((routing) -> routing.route(host, path).map((route) -> routing.rank(Optional.empty(), route)))
			.orElse(Ranks.LEAST_URGENT);
	}

	/**
	 * Returns how long ago the configuration in force was surely the newest.
	 * @return the age in milliseconds, {@link Long#MAX_VALUE} before the first
	 * confirmation
	 */
	public long ageMillis() {
		ClockReading moment = this.confirmed;
		return (moment != null && this.current != null) ? this.clock.ageMillis(moment) : Long.MAX_VALUE;
	}

	@Override
	public void onSnapshot(List<KeyedRecord> records) {
		onRecords(records);
	}

	@Override
	public void onRecords(List<KeyedRecord> records) {
		for (KeyedRecord record : records) {
			if (record.key().equals(this.key)) {
				record.value().ifPresent(this::apply);
			}
		}
	}

	@Override
	public void onConfirmed(ClockReading moment) {
		this.confirmed = moment;
	}

	@Override
	public void onUnreachable() {
		// The last configuration stays in force; its age tells how far to trust it.
	}

	private void apply(byte[] value) {
		Optional<Routing> decoded = this.decoder.decode(value);
		if (decoded.isEmpty()) {
			return;
		}
		Routing routing = decoded.get();
		if (this.current == null || routing.version() > this.current.version()) {
			Logger.info("configuration version {} in force", routing.version());
			this.current = routing;
		}
	}

	/**
	 * Decodes the record that holds the configuration.
	 */
	@FunctionalInterface
	public interface RoutingDecoder {

		/**
		 * Decodes a record and logs one that it can't decode.
		 * @param value bytes of the record
		 * @return the configuration, or empty if the bytes hold none
		 */
		Optional<Routing> decode(byte[] value);

	}

}
