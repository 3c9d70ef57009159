package org.marjoramgw.direct.model;

import org.marjoramgw.HostPort;

/**
 * Registered backend server.
 *
 * @param id id of the server
 * @param service service that it serves
 * @param address address of the server
 * @param failureDomain failure domain of the server
 * @param slotCount number of requests that it runs concurrently
 * @param version version of its software, an empty string if it named none
 * @param startMillis when the server started, in milliseconds since the Unix epoch; 0 if
 * it didn't say
 * @param draining whether it accepts no new requests because it is shutting down
 * @author The marjoramgw authors
 */
public record BackendServer(String id, String service, HostPort address, String failureDomain, int slotCount,
		String version, long startMillis, boolean draining) {

	/**
	 * Returns the identity of this run of the server, which ends with its process.
	 * @return the id and the time of the start
	 */
	public String incarnation() {
		return this.id + "@" + this.startMillis;
	}

	/**
	 * Tells whether this is the same run of a server.
	 * @param other a server with the same id
	 * @return whether it started at the same time with the same version
	 */
	public boolean isSameRun(BackendServer other) {
		return incarnation().equals(other.incarnation()) && this.version.equals(other.version);
	}

}
