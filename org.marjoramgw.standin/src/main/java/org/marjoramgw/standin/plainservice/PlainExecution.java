package org.marjoramgw.standin.plainservice;

/**
 * One execution of a call.
 *
 * @param requestId value of {@code X-Request-Id}, or an empty text
 * @param method HTTP method
 * @param path path with its leading slash
 * @param body the body
 * @param startedMs when it started, in milliseconds since the Unix epoch
 * @author The marjoramgw authors
 */
public record PlainExecution(String requestId, String method, String path, String body, long startedMs) {
}
