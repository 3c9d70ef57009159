package org.marjoramgw.claim;

/**
 * Idempotency key and the call that it identifies.
 *
 * @param account name of the client account
 * @param key idempotency key that the caller sent
 * @param requestSha256 SHA-256 digest of service, method, path and body, in hexadecimal
 * @param requestId id of the request
 * @author The marjoramgw authors
 */
public record ClaimKey(String account, String key, String requestSha256, String requestId) {
}
