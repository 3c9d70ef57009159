package org.marjoramgw.standin.plainservice;

/**
 * Execution of a request.
 *
 * @param requestId value of {@code X-Request-Id}, or an empty string
 * @param method HTTP method
 * @param path path with a leading slash
 * @param body request body
 * @param startedMs start time, in milliseconds since the Unix epoch
 * @author The marjoramgw authors
 */
public record PlainExecution(String requestId, String method, String path, String body, long startedMs) {
}
