package org.marjoramgw.direct.model;

import org.marjoramgw.HostPort;

/**
 * Backend server as it registered itself.
 *
 * @param id id of this incarnation
 * @param service service that it serves
 * @param address its address
 * @param failureDomain its failure domain
 * @param slotCount requests that it runs at once
 * @param draining whether it is leaving
 * @author The marjoramgw authors
 */
public record BackendServer(String id, String service, HostPort address, String failureDomain, int slotCount,
		boolean draining) {
}
