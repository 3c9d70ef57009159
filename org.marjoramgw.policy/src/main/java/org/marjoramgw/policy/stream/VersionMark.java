package org.marjoramgw.policy.stream;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Versions at which a process may begin streams.
 *
 * @param untilMillis for each service and version, until when such a stream may be taken
 * up, in milliseconds since the Unix epoch
 * @author The marjoramgw authors
 */
public record VersionMark(Map<String, Map<String, Long>> untilMillis) {

	/** Mark that names no version. */
	static final VersionMark NONE = new VersionMark(Map.of());

	/**
	 * Returns the versions of a service that streams may have begun at.
	 * @param service name of the service
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 * @return the versions
	 */
	Set<String> versions(String service, long nowMillis) {
		return this.untilMillis.getOrDefault(service, Map.of())
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > nowMillis)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	/**
	 * Returns until when streams of a version may be taken up.
	 * @param service name of the service
	 * @param version the version
	 * @return time in milliseconds since the Unix epoch, 0 if it isn't named
	 */
	long untilMillis(String service, String version) {
		return this.untilMillis.getOrDefault(service, Map.of()).getOrDefault(version, 0L);
	}

}
