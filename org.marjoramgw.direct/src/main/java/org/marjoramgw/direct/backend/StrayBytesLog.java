package org.marjoramgw.direct.backend;

import java.util.Locale;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.HostPort;
import org.marjoramgw.http.StrayBytes;
import org.tinylog.Logger;

/**
 * Counts connections on which bytes were received that belong to no response, and logs a
 * line for each.
 *
 * @author The marjoramgw authors
 */
public final class StrayBytesLog implements StrayBytes {

	private final MetricRegistry registry;

	/**
	 * Creates a log.
	 * @param registry registry of the metrics
	 */
	public StrayBytesLog(MetricRegistry registry) {
		this.registry = registry;
	}

	@Override
	public void onStrayBytes(HostPort address, Place place, String requestId) {
		String name = place.name().toLowerCase(Locale.ROOT);
		this.registry.counter("stray." + name).inc();
		Logger.info("stray bytes address={} place={} request={}", address, name, requestId);
	}

}
