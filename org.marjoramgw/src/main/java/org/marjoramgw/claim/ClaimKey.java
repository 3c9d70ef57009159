package org.marjoramgw.claim;

/**
 * Idempotency key of a call.
 *
 * @param account name of the client account
 * @param key key that the caller sent
 * @param requestSha256 SHA-256 digest of service, method, path and body, in hexadecimal
 * @param requestId id of the request
 * @author The marjoramgw authors
 */
public record ClaimKey(String account, String key, String requestSha256, String requestId) {
}
