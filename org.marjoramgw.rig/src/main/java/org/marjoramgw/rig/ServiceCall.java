package org.marjoramgw.rig;

import org.marjoramgw.HostPort;

/**
 * Call to a plain service through an entry.
 *
 * @param target address of the entry
 * @param key bearer key of the client account
 * @param requestClass class of the request, or an empty text to leave it to the rules
 * @param service name of the service
 * @param path path at the backend server, without a leading slash
 * @param body JSON body
 * @param idempotencyKey idempotency key, or an empty text
 * @author The marjoramgw authors
 */
public record ServiceCall(HostPort target, String key, String requestClass, String service, String path, String body,
		String idempotencyKey) {
}
