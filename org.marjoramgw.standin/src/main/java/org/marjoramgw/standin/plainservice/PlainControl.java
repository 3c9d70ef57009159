package org.marjoramgw.standin.plainservice;

/**
 * Faults of a plain service stand-in; a {@code null} leaves a fault unchanged.
 *
 * @param delayMs processing time of a request, in milliseconds
 * @param status HTTP status of the responses
 * @param breakAfterRun whether requests are executed but their connection is aborted
 * without a response
 * @author The marjoramgw authors
 */
public record PlainControl(Long delayMs, Integer status, Boolean breakAfterRun) {
}
