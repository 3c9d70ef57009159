package org.marjoramgw.rig;

import org.marjoramgw.HostPort;

/**
 * Request to a plain service through an entry.
 *
 * @param target address of the entry
 * @param key bearer token of the client account
 * @param requestClass class of the request, or an empty string to have it set by the
 * rules
 * @param service name of the service
 * @param path path at the backend server, without a leading slash
 * @param body JSON body
 * @param idempotencyKey idempotency key, or an empty string
 * @author The marjoramgw authors
 */
public record ServiceCall(HostPort target, String key, String requestClass, String service, String path, String body,
		String idempotencyKey) {
}
