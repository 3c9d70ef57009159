package org.marjoramgw.direct.backend;

import com.typesafe.config.Config;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;

/**
 * HTTP settings of connections to backend servers. A server may fail and send bytes
 * without end, so that heads and chunks are limited more tightly than those of the store.
 *
 * @author The marjoramgw authors
 */
public final class BackendHttpSettings {

	private BackendHttpSettings() {
	}

	/**
	 * Returns the settings.
	 * @param config configuration of the process
	 * @return the settings of connections to backend servers
	 */
	public static ClientConnectionSettings of(Config config) {
		return ClientConnectionSettings.create(config.getConfig("backend-servers").withFallback(config));
	}

}
