package org.marjoramgw.direct.model;

import org.marjoramgw.HostPort;

/**
 * Registered backend server.
 *
 * @param id id of this incarnation of the server
 * @param service service that it serves
 * @param address address of the server
 * @param failureDomain failure domain of the server
 * @param slotCount number of requests that it runs concurrently
 * @param draining whether it accepts no new requests because it is shutting down
 * @author The marjoramgw authors
 */
public record BackendServer(String id, String service, HostPort address, String failureDomain, int slotCount,
		boolean draining) {
}
