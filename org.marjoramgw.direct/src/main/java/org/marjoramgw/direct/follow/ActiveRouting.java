package org.marjoramgw.direct.follow;

import java.util.List;
import java.util.Optional;

import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.direct.model.EngineLimits;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.tinylog.Logger;

/**
 * Active configuration, with the time of its last confirmation; thread-safe.
 * <p>
 * A version is replaced only by a higher one. While the newest record of the store
 * contains another configuration than the active one, since it can't be decoded or is
 * older, reads of the store confirm nothing.
 *
 * @author The marjoramgw authors
 */
public final class ActiveRouting implements TopicListener {

	private final String key;

	private final RoutingDecoder decoder;

	private final AgeClock clock;

	private volatile Routing current;

	private volatile ClockReading lastConfirmed;

	/** Whether the newest record of the store contains the active configuration. */
	private boolean storeAgrees;

	/**
	 * Creates an instance without a configuration.
	 * @param key key of the record that contains the configuration
	 * @param decoder decoder of the record
	 * @param clock clock that measures ages
	 */
	public ActiveRouting(String key, RoutingDecoder decoder, AgeClock clock) {
		this.key = key;
		this.decoder = decoder;
		this.clock = clock;
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration, or empty if none has been received yet
	 */
	public Optional<Routing> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Returns the limits on callers.
	 * @return the limits of the active configuration, or the default limits
	 */
	public CallerLimits limits() {
		return current().map(Routing::limits).orElse(CallerLimits.DEFAULT);
	}

	/**
	 * Returns the limits of the engines of a service.
	 * @param service name of the service
	 * @return the limits
	 */
	public EngineLimits engine(String service) {
		return current().map((routing) -> routing.engine(service)).orElse(EngineLimits.UNBOUNDED);
	}

	/**
	 * Finds the route of a request.
	 * @param host host name of the request, without port
	 * @param path path of the request, not percent-decoded
	 * @return the route, or empty if none is known
	 */
	public Optional<Route> route(String host, String path) {
		return current().flatMap((routing) -> routing.route(host, path));
	}

	/**
	 * Returns the time since the active configuration was last confirmed to be the
	 * latest.
	 * @return the age in milliseconds, {@link Long#MAX_VALUE} before the first
	 * confirmation
	 */
	public long ageMillis() {
		ClockReading confirmedAt = this.lastConfirmed;
		return (confirmedAt != null && this.current != null) ? this.clock.ageMillis(confirmedAt) : Long.MAX_VALUE;
	}

	@Override
	public void onSnapshot(List<KeyedRecord> records) {
		this.storeAgrees = false;
		onRecords(records);
	}

	@Override
	public void onRecords(List<KeyedRecord> records) {
		for (KeyedRecord record : records) {
			if (record.key().equals(this.key)) {
				this.storeAgrees = record.value().map((value) -> apply(value, record.offset())).orElse(false);
			}
		}
	}

	@Override
	public void onConfirmed(ClockReading confirmedAt) {
		if (this.storeAgrees) {
			this.lastConfirmed = confirmedAt;
		}
	}

	@Override
	public void onUnreachable() {
		// The last configuration remains active. Its age tells how far to trust it.
	}

	/**
	 * Applies a record unless it contains an older version.
	 * @param value value of the record
	 * @param offset offset of the record
	 * @return whether the active configuration is that of the record now
	 */
	private boolean apply(byte[] value, long offset) {
		Optional<Routing> decoded = decode(value, offset);
		if (decoded.isEmpty()) {
			return false;
		}
		Routing routing = decoded.get();
		if (this.current == null || routing.version() > this.current.version()) {
			Logger.info("configuration version {} in force, read at offset {}", routing.version(), offset);
			this.current = routing;
		}
		else if (routing.version() < this.current.version()) {
			Logger.warn("configuration version {} at offset {} is older than version {}, which stays in force",
					routing.version(), offset, this.current.version());
		}
		return routing.version() == this.current.version();
	}

	private Optional<Routing> decode(byte[] value, long offset) {
		try {
			return this.decoder.decode(value);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "can't decode the configuration at offset {}", offset);
			return Optional.empty();
		}
	}

	/**
	 * Decoder of the record that contains the configuration.
	 */
	@FunctionalInterface
	public interface RoutingDecoder {

		/**
		 * Decodes a record. An undecodable record is logged.
		 * @param value value of the record
		 * @return the configuration, or empty if the record is undecodable
		 */
		Optional<Routing> decode(byte[] value);

	}

}
